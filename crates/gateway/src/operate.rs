//! What operators do about held calls and about the numbers of engines, by way of the store: no instance is asked, and those that
//! have to know read there.

use std::fmt;

use adapter::orders::{
    CLAIM_KEY, CLAIMS_TOPIC, Claim, FixedCount, OVERRIDES_KEY, ScalingOverrides,
};
use adapter::records::INSTANCES_TOPIC;
use adapter::settings::Settings;
use adapter::store::{KeyedRecord, Store, StoreError};
use clock::{Clock as _, Moment, System};
use serving::fingerprint::Fingerprint;
use serving::quarantine::Entry;
use wire::Message as _;
use wire::gateway::Suspect;

use crate::suspects::{START, text};
use crate::{claims, frame, trials};

/// Why nothing was done.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The store gave no answer, or refused.
    Store(StoreError),
    /// The store has no such call.
    Unknown,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(trouble) => write!(f, "{trouble}"),
            Self::Unknown => f.write_str("the store has no call with this fingerprint"),
        }
    }
}

impl From<StoreError> for Failure {
    fn from(trouble: StoreError) -> Self {
        Self::Store(trouble)
    }
}

/// The present moment, from which ages of records are counted back.
const NOW: Moment = START;

/// A call that the store has.
struct Known {
    call: Fingerprint,
    entry: Entry,
    /// The present time, in milliseconds since the Unix epoch, as far as this machine and the record tell.
    ///
    /// This machine's clock may be behind that of the instance which wrote the record. Ages that count from a time before the record was written would
    /// let ends go that came before it, and not those that it tells of.
    now_unix_ms: u64,
}

/// A line for each call that the store has, the ones that are held first.
pub(crate) async fn held(settings: &Settings) -> Result<Vec<String>, Failure> {
    let mut calls: Vec<Known> = read(&mut store(settings)).await?;
    calls.sort_by_key(|known| (!known.entry.is_held(), known.call));
    let lines = calls.iter().map(|Known { call, entry, .. }| {
        let state = if entry.is_held() { "held" } else { "let go" };
        let last = NOW.saturating_sub(entry.last_crash().unwrap_or(NOW));
        let (ended, trials) = (entry.uncleared_crashes(), entry.trials);
        let call = text(*call);
        format!(
            "{call} {state} ended={ended} last_s={} trials={trials}",
            last.as_secs()
        )
    });
    Ok(lines.collect())
}

/// Lets a call go: ends of engines until now no longer count against it.
pub(crate) async fn release(settings: &Settings, call: Fingerprint) -> Result<(), Failure> {
    let mut store = store(settings);
    let calls = read(&mut store).await?;
    let known = calls.into_iter().find(|known| known.call == call);
    let mut known = known.ok_or(Failure::Unknown)?;
    known.entry.released = Some(NOW);
    let released = Suspect {
        written_unix_ms: known.now_unix_ms,
        ..frame::told_suspect(call, &known.entry, NOW)
    };
    let value = released.encode_to_vec();
    store
        .append(INSTANCES_TOPIC, &trials::key(call), &value, None)
        .await?;
    Ok(())
}

/// A line for each number of engines that was ordered last, and for each that an operator fixed.
pub(crate) async fn engines(settings: &Settings) -> Result<Vec<String>, Failure> {
    let newest = store(settings).newest(CLAIMS_TOPIC).await?;
    let record = newest.records.iter().find(|record| record.key == CLAIM_KEY);
    let claim = record.and_then(|record| Claim::from_bytes(record.value.as_ref()?).ok());
    let number = |ordered: Option<u32>| ordered.map_or("none".to_owned(), |n| n.to_string());
    let numbers = claim
        .iter()
        .flat_map(|claim| &claim.numbers)
        .map(|numbers| {
            format!(
                "{} {} began_with={} ordered={} ordered_reclaimable={}",
                numbers.service,
                numbers.zone,
                numbers.found,
                number(numbers.firm),
                number(numbers.reclaimable)
            )
        });
    let wishes = claims::wishes(&newest.records);
    let held = wishes
        .held
        .then(|| "held: no engines are ordered".to_owned());
    let fixed = wishes.fixed.iter().map(|fixed| {
        let kind = kind(fixed.reclaimable);
        format!(
            "{} {} fixed {kind}={}",
            fixed.service, fixed.zone, fixed.engines
        )
    });
    Ok(numbers.chain(held).chain(fixed).collect())
}

fn kind(reclaimable: bool) -> &'static str {
    if reclaimable { "reclaimable" } else { "others" }
}

/// Holds orders for engines, or lets them go on.
pub(crate) async fn hold(settings: &Settings, held: bool) -> Result<(), Failure> {
    change_wishes(settings, |wishes| wishes.held = held).await
}

/// Fixes a number of engines, or leaves it to the plan again.
pub(crate) async fn fix(
    settings: &Settings,
    fixed: &FixedCount,
    stands: bool,
) -> Result<(), Failure> {
    let is_same = |other: &FixedCount| {
        (&other.service, &other.zone, other.reclaimable)
            == (&fixed.service, &fixed.zone, fixed.reclaimable)
    };
    change_wishes(settings, |wishes| {
        wishes.fixed.retain(|other| !is_same(other));
        if stands {
            wishes.fixed.push(fixed.clone());
        }
    })
    .await
}

/// Changes what operators wish, unless another one does at the same moment.
async fn change_wishes(
    settings: &Settings,
    change: impl FnOnce(&mut ScalingOverrides),
) -> Result<(), Failure> {
    let mut store = store(settings);
    let newest = store.newest(CLAIMS_TOPIC).await?;
    let mut wishes = claims::wishes(&newest.records);
    change(&mut wishes);
    let at = Some(newest.end);
    store
        .append(CLAIMS_TOPIC, OVERRIDES_KEY, &wishes.to_bytes(), at)
        .await?;
    Ok(())
}

fn store(settings: &Settings) -> Store {
    Store::new(settings.store, http1::config())
}

async fn read(store: &mut Store) -> Result<Vec<Known>, Failure> {
    let newest = store.newest(INSTANCES_TOPIC).await?;
    Ok(newest.records.iter().filter_map(known).collect())
}

fn known(record: &KeyedRecord) -> Option<Known> {
    trials::call_of(&record.key)?;
    match Suspect::decode(&record.value.as_ref()?[..]) {
        Ok(suspect) => {
            let own = trials::unix_ms(System::new().wall_time());
            let now_unix_ms = own.max(suspect.written_unix_ms + 1);
            let aged = frame::aged(suspect, now_unix_ms);
            let (call, entry) = frame::suspect(&aged, NOW);
            Some(Known {
                call,
                entry,
                now_unix_ms,
            })
        }
        Err(error) => {
            eprintln!("{}: cannot be read: {error}", record.key);
            None
        }
    }
}
