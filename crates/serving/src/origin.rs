//! Which software version began each stream, so that a caller that resumes it elsewhere gets no events
//! of another one.
//!
//! What two versions write does not fit together, and neither the engine nor the answer tells a second
//! instance where the stream began. Unless a service has and had one version only ([`version_history`]), the
//! instance that begins a stream tells a few others, drawn by a hash of the attempt that the caller will
//! name; the one that resumes it asks them. A version that nobody knows is not guessed. See
//! `docs/design/stream-versions.md`.
//!
//! [`version_history`]: crate::version_history

use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::fleet::Restart;
use crate::usage::UnixTime;
use crate::{EngineId, ServiceName, hash};

/// Identifies a stream by the attempt that began it, its service and its organisation.
pub type Key = u64;

/// Version of an engine's software.
pub type Software = Rc<str>;

/// Other instances that are told of a stream.
pub const HOLDERS: usize = 3;
/// Instances that are asked for one. More than were told, since the one that began it may be drawn too, and
/// another one may have come or gone since.
pub const ASKED: usize = 5;
/// Time for which a stream may be resumed after its caller has given up on the attempt.
const RESUME_GRACE: Duration = Duration::from_secs(5);
/// Most streams that are remembered; those that are forgotten first make room.
const MAX_STREAMS: usize = 16_384;

/// Noted in place of a version for a stream whose engine may have started again, with another version, before it
/// began the stream.
const UNCERTAIN: &str = "?";
/// Time by which the clocks of engines and instances may differ.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(1);
/// Age of a list of engines up to which engines that have started again are taken to be in it.
const MAX_LIST_AGE: Duration = Duration::from_secs(2);

/// Whether an engine has to be asked when it started before a stream is sent on a connection to it that was
/// `opened` then. The engines were last read at `as_of`.
///
/// An engine that starts again with another version keeps its name and address, and its record follows later.
/// A stream that it resumes would be mixed at once. One that it begins is corrected once the record is there,
/// unless that takes long.
pub fn must_identify(resumes: bool, opened: Moment, as_of: Option<Moment>, now: Moment) -> bool {
    let is_recent = |as_of| opened <= as_of || now.saturating_sub(as_of) <= MAX_LIST_AGE;
    resumes || !as_of.is_some_and(is_recent)
}

/// The key of the stream that an attempt began. Callers choose the ids of attempts, so that two
/// organisations may use the same one.
pub fn key(organisation: &str, service: &str, attempt: &str) -> Key {
    hash::hash64(&format!("{organisation}\n{service}\n{attempt}"))
}

/// The instances that remember a stream, drawn from `members`. Each instance draws the same ones, and one that
/// comes or goes changes at most one of them.
pub fn holders(
    key: Key,
    members: impl Iterator<Item = SocketAddr>,
    count: usize,
) -> SmallVec<[SocketAddr; ASKED]> {
    let mut drawn: SmallVec<[(u64, SocketAddr); ASKED]> = SmallVec::new();
    for member in members {
        let weight = hash::mix64(key ^ hash::mix64(address_bits(member)));
        let at = drawn.partition_point(|(other, _)| *other > weight);
        if at < count {
            drawn.truncate(count - 1);
            drawn.insert(at, (weight, member));
        }
    }
    drawn.into_iter().map(|(_, member)| member).collect()
}

fn address_bits(address: SocketAddr) -> u64 {
    let ip = match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => hash::hash64(&ip.to_string()),
    };
    ip << 16 ^ u64::from(address.port())
}

/// A stream that this instance remembers.
#[derive(Clone, Debug)]
struct Stream {
    software: Software,
    expires: Moment,
    source: Source,
    /// The engine that began it and when, if this instance sent it.
    begun: Option<(EngineId, UnixTime)>,
}

/// Numbers of streams that an instance remembers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Those that it began.
    pub own: usize,
    /// Copies for the instances that began them.
    pub backup: usize,
    /// Those that it was told of as a holder.
    pub noted: usize,
}

/// Where an instance knows a stream from.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Source {
    /// It began the stream, of this service.
    Own(ServiceName),
    /// It keeps a copy for the instance that began the stream.
    Backup(ServiceName),
    /// It is one of the holders, who are asked.
    Note,
}

impl Source {
    /// The service of a stream that this instance announces to the holders, once they need to know.
    fn announced(&self) -> Option<&ServiceName> {
        match self {
            Self::Own(service) | Self::Backup(service) => Some(service),
            Self::Note => None,
        }
    }

    /// How near the one that tells of a stream is to the engine that runs it.
    fn rank(&self) -> u8 {
        match self {
            Self::Own(_) => 2,
            Self::Backup(_) => 1,
            Self::Note => 0,
        }
    }
}

/// Streams that began at the same version of a service, copied to a backup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub software: Software,
    /// The streams, each with the time for which it is remembered.
    pub streams: Vec<(Key, Duration)>,
}

/// A stream to tell its holders of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// The stream.
    pub key: Key,
    /// The version that began it.
    pub software: Software,
    /// Time for which it is remembered.
    pub lifetime: Duration,
}

/// What one instance knows of a stream and its service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Knowledge {
    /// The version that began the stream.
    pub software: Option<Software>,
    /// Whether the service has several versions, or had until lately.
    pub is_mixed: bool,
    /// The version at which all streams of the service began, if the instance knows all engines and what
    /// they were before.
    pub sole: Option<Software>,
    /// Whether `sole` comes from a read of the store that began after the stream was taken up.
    pub is_confirmed: bool,
}

/// Why a version may go on with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// An instance remembers that it began the stream.
    Note,
    /// It is the only one that the service has and had.
    OnlyVersion,
}

/// Why the version that began a stream is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unresolved {
    /// The engine had started again by then, perhaps with another version.
    Restarted,
    /// Instances disagree.
    Conflicting,
    /// The service has several versions, or had until lately, and no instance remembers the stream.
    SeveralVersions,
    /// No instance that answered knows which versions the service has and had, or what they know may be
    /// older than the stream.
    Unknown,
}

/// Whether all instances that may hold the note of a stream have answered, of those `drawn` for it by
/// [`holders`]. The one that began it is not among its own holders, so that one more may be.
pub fn is_complete(drawn: &[SocketAddr], has_answered: impl Fn(SocketAddr) -> bool) -> bool {
    drawn.len() > 1
        && drawn
            .iter()
            .take(HOLDERS + 1)
            .all(|member| has_answered(*member))
}

/// The version that may go on with a stream, from what this instance knows and the others that answered.
///
/// That a service has one version only is true of the moment at which the engines were read. An instance that
/// was stopped or cut off does not know how long ago that was, and neither do others that were cut off with
/// it. So it counts only if every instance that may hold a note of the stream has answered that it has none
/// (`is_complete`), or if the engines were read after the stream was taken up.
///
/// # Errors
///
/// If it is not known which version began the stream.
pub fn resolve(
    own: &Knowledge,
    others: &[Knowledge],
    is_complete: bool,
) -> Result<(Software, Evidence), Unresolved> {
    let known = || others.iter().chain([own]);
    if let Some(software) = agreed(known().filter_map(|known| known.software.as_ref()))? {
        return match &*software {
            UNCERTAIN => Err(Unresolved::Restarted),
            _ => Ok((software, Evidence::Note)),
        };
    }
    // Streams are noted while there are several versions, so the note of this one has been lost.
    if known().any(|known| known.is_mixed) {
        return Err(Unresolved::SeveralVersions);
    }
    let software = agreed(known().filter_map(|known| known.sole.as_ref()))?;
    let is_confirmed = known().any(|known| known.sole.is_some() && known.is_confirmed);
    let software = software.filter(|_| is_complete || is_confirmed);
    let software = software.ok_or(Unresolved::Unknown)?;
    Ok((software, Evidence::OnlyVersion))
}

/// The version that all of these are; `None` if there are none.
fn agreed<'a>(
    mut versions: impl Iterator<Item = &'a Software>,
) -> Result<Option<Software>, Unresolved> {
    let Some(first) = versions.next() else {
        return Ok(None);
    };
    if versions.all(|other| other == first) {
        Ok(Some(first.clone()))
    } else {
        Err(Unresolved::Conflicting)
    }
}

/// Streams that this instance remembers.
#[derive(Debug, Default)]
pub struct Origins {
    streams: HashMap<Key, Stream>,
    by_expiry: BTreeSet<(Moment, Key)>,
    /// Own streams that have not been copied to the backups.
    uncopied: Vec<Key>,
}

impl Origins {
    /// Records a stream that this instance begins or resumes, whose caller waits for `time_left` at most.
    /// Returns what to tell its holders, unless all streams of its service began at one version
    /// (`is_settled`).
    pub fn begin(
        &mut self,
        key: Key,
        service: &ServiceName,
        software: &Software,
        time_left: Duration,
        is_settled: bool,
        now: Moment,
    ) -> Option<Note> {
        let note = Note {
            key,
            software: software.clone(),
            lifetime: time_left + RESUME_GRACE,
        };
        self.insert(&note, Source::Own(service.clone()), now);
        if is_settled {
            self.uncopied.push(key);
            None
        } else {
            Some(note)
        }
    }

    /// Records which engine began an own stream, or goes on with it, and when.
    pub fn on_engine(&mut self, key: Key, engine: &EngineId, at: UnixTime) {
        if let Some(stream) = self.streams.get_mut(&key) {
            stream.begun = Some((engine.clone(), at));
        }
    }

    /// Records that an engine has started again. Returns what to tell the holders of those own streams that the
    /// new process may have begun, with another version than was noted.
    pub fn on_restart(&mut self, restart: &Restart, now: Moment) -> Vec<Note> {
        let earliest = restart.started.saturating_sub(MAX_CLOCK_DIFFERENCE);
        let mut notes = Vec::new();
        for (key, stream) in &mut self.streams {
            let is_affected = |(engine, at): &(EngineId, UnixTime)| {
                *engine == restart.engine && *at >= earliest && now < stream.expires
            };
            if stream.software == restart.software
                || !stream.begun.as_ref().is_some_and(is_affected)
            {
                continue;
            }
            stream.software = Software::from(UNCERTAIN);
            self.uncopied.push(*key);
            notes.push(Note {
                key: *key,
                software: stream.software.clone(),
                lifetime: stream.expires - now,
            });
        }
        notes
    }

    /// Whether the version that began a stream has turned out to be uncertain.
    pub fn is_uncertain(&self, key: Key) -> bool {
        let stream = self.streams.get(&key);
        stream.is_some_and(|stream| &*stream.software == UNCERTAIN)
    }

    /// Records a stream that another instance began.
    pub fn on_note(&mut self, note: &Note, now: Moment) {
        self.insert(note, Source::Note, now);
    }

    /// Records streams that another instance began and copied to this one. Returns what to tell their holders,
    /// unless all streams of their service began at one version (`is_settled`).
    pub fn on_batch(&mut self, batch: &Batch, is_settled: bool, now: Moment) -> Vec<Note> {
        let notes = batch.streams.iter().map(|(key, lifetime)| Note {
            key: *key,
            software: batch.software.clone(),
            lifetime: *lifetime,
        });
        let notes: Vec<Note> = notes.collect();
        for note in &notes {
            self.insert(note, Source::Backup(batch.service.clone()), now);
        }
        if is_settled { Vec::new() } else { notes }
    }

    /// Own streams that began since the last call and may still be resumed.
    pub fn take_uncopied(&mut self, now: Moment) -> Vec<Batch> {
        let uncopied = std::mem::take(&mut self.uncopied);
        let streams = uncopied
            .iter()
            .filter_map(|key| self.streams.get_key_value(key));
        batches(streams, now)
    }

    /// All own streams that may still be resumed.
    pub fn all_own(&self, now: Moment) -> Vec<Batch> {
        batches(self.streams.iter(), now)
    }

    /// Streams of a service that may still be resumed, and that this instance began or keeps a copy of. Their
    /// holders were told nothing while the service had one version.
    pub fn unannounced(&self, service: &ServiceName, now: Moment) -> Vec<Note> {
        let streams = self.streams.iter().filter(|(_, stream)| {
            stream.source.announced() == Some(service) && now < stream.expires
        });
        let notes = streams.map(|(key, stream)| Note {
            key: *key,
            software: stream.software.clone(),
            lifetime: stream.expires - now,
        });
        notes.collect()
    }

    /// The version that began a stream.
    pub fn find(&self, key: Key, now: Moment) -> Option<Software> {
        let stream = self.streams.get(&key)?;
        (now < stream.expires).then(|| stream.software.clone())
    }

    /// Numbers of remembered streams.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for stream in self.streams.values() {
            match stream.source {
                Source::Own(_) => counts.own += 1,
                Source::Backup(_) => counts.backup += 1,
                Source::Note => counts.noted += 1,
            }
        }
        counts
    }

    /// Forgets streams that cannot be resumed any more.
    pub fn expire(&mut self, now: Moment) {
        while self
            .by_expiry
            .first()
            .is_some_and(|(expires, _)| *expires <= now)
        {
            self.forget_first();
        }
    }

    fn insert(&mut self, note: &Note, source: Source, now: Moment) {
        let is_uncertain = &*note.software == UNCERTAIN || self.is_uncertain(note.key);
        let mut stream = Stream {
            software: note.software.clone(),
            expires: now + note.lifetime,
            source,
            begun: None,
        };
        if let Some(before) = self.streams.remove(&note.key) {
            self.by_expiry.remove(&(before.expires, note.key));
            // What is told of a stream's first part may arrive after it went on elsewhere or here.
            let expires = before.expires.max(stream.expires);
            if now < before.expires && before.source.rank() > stream.source.rank() {
                stream = before;
            }
            stream.expires = expires;
        }
        if is_uncertain {
            // A copy of what was noted first may arrive late.
            stream.software = Software::from(UNCERTAIN);
        }
        self.by_expiry.insert((stream.expires, note.key));
        self.streams.insert(note.key, stream);
        if self.streams.len() > MAX_STREAMS {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, key)) = self.by_expiry.pop_first() {
            self.streams.remove(&key);
        }
    }
}

/// The own ones among these streams that may still be resumed, by service and version.
fn batches<'a>(streams: impl Iterator<Item = (&'a Key, &'a Stream)>, now: Moment) -> Vec<Batch> {
    let mut batches: Vec<Batch> = Vec::new();
    for (key, stream) in streams.filter(|(_, stream)| now < stream.expires) {
        let Source::Own(service) = &stream.source else {
            continue;
        };
        let lifetime = stream.expires - now;
        let same =
            |batch: &&mut Batch| batch.service == *service && batch.software == stream.software;
        match batches.iter_mut().find(same) {
            Some(batch) => batch.streams.push((*key, lifetime)),
            None => batches.push(Batch {
                service: service.clone(),
                software: stream.software.clone(),
                streams: vec![(*key, lifetime)],
            }),
        }
    }
    batches
}
