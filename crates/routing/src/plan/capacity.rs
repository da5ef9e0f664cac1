//! What engines in given roles can do together.
//!
//! An engine of a role can prefill so many tokens a second, or decode so many, or some of both; the
//! possible pairs are bounded by a concave line, its frontier. What several engines can do together
//! is bounded by the sum of their frontiers: the segments of all, put together in order of slope.

use smallvec::SmallVec;

use crate::upstream::Role;

/// Tokens a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Prompt tokens to be computed.
    pub prefill: f64,
    /// Answer tokens.
    pub decode: f64,
}

/// Frontier of one engine in one role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Frontier {
    /// Prompt tokens a second when it decodes nothing.
    pub prefill: f64,
    /// Answer tokens a second when it prefills nothing.
    pub decode: f64,
    /// Share of both that it reaches at once: 0.5 if one displaces the other, more if batches
    /// carry both.
    pub overlap: f64,
}

/// Frontiers by role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Frontiers {
    /// Of a mixed engine.
    pub mixed: Frontier,
    /// Of a prefill engine.
    pub prefill: Frontier,
    /// Of a decode engine.
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

/// Engines by role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Counts([u32; 3]);

impl Counts {
    /// Counts by role in the order mixed, prefill, decode.
    pub fn new(counts: [u32; 3]) -> Self {
        Self(counts)
    }

    /// Counts engines of these roles.
    pub fn of(roles: impl Iterator<Item = Role>) -> Self {
        let mut counts = Self::default();
        for role in roles {
            counts.0[role as usize] += 1;
        }
        counts
    }

    /// Engines of a role.
    pub fn get(&self, role: Role) -> u32 {
        self.0[role as usize]
    }

    /// All engines.
    pub fn total(&self) -> u32 {
        self.0.iter().sum()
    }

    /// The counts with `engines` fewer of a role.
    pub fn without(mut self, role: Role, engines: u32) -> Self {
        self.0[role as usize] = self.0[role as usize].saturating_sub(engines);
        self
    }

    /// The counts with `engines` more of a role.
    pub fn with(mut self, role: Role, engines: u32) -> Self {
        self.0[role as usize] += engines;
        self
    }
}

/// A piece of a frontier: prefill won for decode given up.
#[derive(Clone, Copy, Debug)]
struct Segment {
    prefill: f64,
    decode: f64,
}

impl Segment {
    /// Decode given up for each token of prefill; pieces that give up least come first.
    fn slope(&self) -> f64 {
        self.decode / self.prefill.max(f64::MIN_POSITIVE)
    }
}

/// How many times the demand these engines can do: above 1 there is room, below 1 that share of it
/// is all that can be served.
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

/// Where the ray of the demand meets the frontier that starts at `at` (all decode).
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
        // The ray passes below the end of this piece: it meets the frontier on it.
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

/// Share of capacity up to which requests are served in time. Beyond it queues grow with each swing
/// of arrivals, and part of what is served is late.
const ON_TIME_UTILISATION: f64 = 0.9;

/// Share of the demand that these engines serve in time, 0 to 1.
pub fn served_share(frontiers: &Frontiers, counts: Counts, demand: Demand) -> f64 {
    (headroom(frontiers, counts, demand) * ON_TIME_UTILISATION).min(1.0)
}
