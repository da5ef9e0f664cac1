//! Capacity model: the combined capacity of engines in given roles.
//!
//! An engine can prefill, decode, or do some of both; the feasible pairs of rates are bounded by a
//! concave line, its frontier. The frontier of several engines is the sum of theirs: the segments
//! of all, joined in order of slope.

use smallvec::SmallVec;

use crate::upstream::Role;

/// Demand in tokens per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Prompt tokens to compute.
    pub prefill: f64,
    /// Answer tokens to generate.
    pub decode: f64,
}

/// Capacity frontier of one engine in one role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Frontier {
    /// Prompt tokens per second without any decode.
    pub prefill: f64,
    /// Answer tokens per second without any prefill.
    pub decode: f64,
    /// Share of both rates that it reaches at the same time: 0.5 if one displaces the other, more
    /// if batches carry both.
    pub overlap: f64,
}

/// Frontiers by role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Frontiers {
    /// Frontier of a mixed engine.
    pub mixed: Frontier,
    /// Frontier of a prefill engine.
    pub prefill: Frontier,
    /// Frontier of a decode engine.
    pub decode: Frontier,
}

impl Frontiers {
    /// The frontier of a role.
    pub fn get(&self, role: Role) -> &Frontier {
        match role {
            Role::Mixed => &self.mixed,
            Role::Prefill => &self.prefill,
            Role::Decode => &self.decode,
        }
    }
}

/// Number of engines by role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Counts([u32; 3]);

impl Counts {
    /// Creates counts in the order mixed, prefill, decode.
    pub fn new(counts: [u32; 3]) -> Self {
        Self(counts)
    }

    /// Counts engines with these roles.
    pub fn of(roles: impl Iterator<Item = Role>) -> Self {
        let mut counts = Self::default();
        for role in roles {
            counts.0[role as usize] += 1;
        }
        counts
    }

    /// Number of engines in a role.
    pub fn get(&self, role: Role) -> u32 {
        self.0[role as usize]
    }

    /// Number of engines in all roles.
    pub fn total(&self) -> u32 {
        self.0.iter().sum()
    }

    /// The counts with `engines` fewer in a role.
    pub fn without(mut self, role: Role, engines: u32) -> Self {
        self.0[role as usize] = self.0[role as usize].saturating_sub(engines);
        self
    }

    /// The counts with `engines` more in a role.
    pub fn with(mut self, role: Role, engines: u32) -> Self {
        self.0[role as usize] += engines;
        self
    }
}

/// Segment of a frontier: prefill gained for decode given up.
#[derive(Clone, Copy, Debug)]
struct Segment {
    prefill: f64,
    decode: f64,
}

impl Segment {
    /// Decode given up per token of prefill; the flattest segments come first.
    fn slope(&self) -> f64 {
        self.decode / self.prefill.max(f64::MIN_POSITIVE)
    }
}

/// Factor by which these engines exceed the demand. Below 1, it is the share of the demand that
/// can be served.
pub fn headroom(frontiers: &Frontiers, counts: Counts, demand: Demand) -> f64 {
    let mut segments: SmallVec<[Segment; 6]> = SmallVec::new();
    let mut at = Demand::default();
    for role in Role::ALL {
        let engines = f64::from(counts.get(role));
        if engines > 0.0 {
            let frontier = frontiers.get(role);
            at.decode += frontier.decode * engines;
            push_segments(&mut segments, frontier, engines);
        }
    }
    segments.sort_by(|a, b| a.slope().total_cmp(&b.slope()));
    intersect(at, &segments, demand)
}

fn push_segments(segments: &mut SmallVec<[Segment; 6]>, frontier: &Frontier, engines: f64) {
    let overlap = frontier.overlap.clamp(0.5, 1.0);
    for (prefill, decode) in [(overlap, 1.0 - overlap), (1.0 - overlap, overlap)] {
        segments.push(Segment {
            prefill: frontier.prefill * prefill * engines,
            decode: frontier.decode * decode * engines,
        });
    }
}

/// Factor at which the ray of the demand meets the frontier that starts at `at`, where all
/// capacity decodes.
fn intersect(mut at: Demand, segments: &[Segment], demand: Demand) -> f64 {
    if demand.prefill <= 0.0 && demand.decode <= 0.0 {
        return f64::INFINITY;
    }
    if demand.prefill <= 0.0 {
        return at.decode / demand.decode;
    }
    for segment in segments {
        let end = Demand {
            prefill: at.prefill + segment.prefill,
            decode: at.decode - segment.decode,
        };
        // The ray passes below the end of this segment and so meets it.
        if end.decode * demand.prefill <= end.prefill * demand.decode {
            return intersect_segment(at, segment, demand);
        }
        at = end;
    }
    at.prefill / demand.prefill
}

/// Factor at which `factor * demand` lies on the segment.
fn intersect_segment(at: Demand, segment: &Segment, demand: Demand) -> f64 {
    let across = segment.decode * at.prefill + segment.prefill * at.decode;
    let along = segment.decode * demand.prefill + segment.prefill * demand.decode;
    if along <= 0.0 {
        return at.prefill / demand.prefill;
    }
    across / along
}

/// Utilisation up to which requests are served in time. Beyond it, queues grow with each burst of
/// arrivals, and some requests are late.
const ON_TIME_UTILISATION: f64 = 0.9;

/// Share of the demand that these engines serve in time, 0 to 1.
pub fn served_share(frontiers: &Frontiers, counts: Counts, demand: Demand) -> f64 {
    (headroom(frontiers, counts, demand) * ON_TIME_UTILISATION).min(1.0)
}
