//! Operators' commands on held calls and on the numbers of engines. They work through the store
//! alone: no instance is called, and those concerned read the change there.

use std::fmt;

use adapter::orders::{
    CLAIM_KEY, CLAIMS_TOPIC, Claim, FixedCount, OVERRIDES_KEY, ScalingOverrides,
};
use adapter::records::INSTANCES_TOPIC;
use adapter::settings::Settings;
use adapter::store::{KeyedRecord, Store, StoreError};
use clock::{Clock as _, Moment, System};
use serving::fingerprint::Fingerprint;
use serving::quarantine::{Entry, Quarantine};
use wire::Message as _;
use wire::gateway::Suspect;

use crate::suspects::{CLOCK_OFFSET, fingerprint_text};
use crate::{claims, frame, quarantine_store};

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The store did not respond, or refused.
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

/// The present moment, from which the ages in records count back.
const NOW: Moment = CLOCK_OFFSET;

/// A call that the store has.
struct StoredCall {
    call: Fingerprint,
    entry: Entry,
    /// The present time, in milliseconds since the Unix epoch: the later of this machine's clock
    /// and the record's time.
    ///
    /// This machine's clock may lag that of the instance which wrote the record. With an age from
    /// before the record was written, a release would cover earlier crashes, and not those in the
    /// record.
    now_unix_ms: u64,
}

/// A line for each call and each part of prompts in the store, held ones first.
pub(crate) async fn list_held(settings: &Settings) -> Result<Vec<String>, Failure> {
    let mut calls: Vec<StoredCall> = read_calls(&mut store(settings)).await?;
    let mut quarantine = Quarantine::default();
    for StoredCall { call, entry, .. } in &calls {
        quarantine.merge(*call, entry);
    }
    calls.sort_by_key(|stored| (!quarantine.is_held(stored.call), stored.call));
    let lines = calls.iter().map(|StoredCall { call, entry, .. }| {
        let is_held = quarantine.is_held(*call);
        let state = if is_held { "held" } else { "let go" };
        let kind = if entry.is_part() { "part" } else { "call" };
        let last = NOW.saturating_sub(entry.last_crash().unwrap_or(NOW));
        let (ended, trials) = (entry.uncleared_crashes(), entry.trials);
        let call = fingerprint_text(*call);
        format!(
            "{call} {state} ended={ended} last_s={} trials={trials} kind={kind}",
            last.as_secs()
        )
    });
    Ok(lines.collect())
}

/// Releases a call: earlier crashes no longer count against it.
pub(crate) async fn release(settings: &Settings, call: Fingerprint) -> Result<(), Failure> {
    let mut store = store(settings);
    let calls = read_calls(&mut store).await?;
    let stored = calls.into_iter().find(|stored| stored.call == call);
    let mut stored = stored.ok_or(Failure::Unknown)?;
    stored.entry.released = Some(NOW);
    let released = Suspect {
        written_unix_ms: stored.now_unix_ms,
        ..frame::encode_suspect(call, &stored.entry, NOW)
    };
    let value = released.encode_to_vec();
    store
        .append(INSTANCES_TOPIC, &quarantine_store::key(call), &value, None)
        .await?;
    Ok(())
}

/// A line for each number of engines that was ordered last, and for each that an operator fixed.
pub(crate) async fn list_engines(settings: &Settings) -> Result<Vec<String>, Failure> {
    let newest = store(settings).newest(CLAIMS_TOPIC).await?;
    let record = newest.records.iter().find(|record| record.key == CLAIM_KEY);
    let claim = record.and_then(|record| Claim::from_bytes(record.value.as_ref()?).ok());
    let format_number = |ordered: Option<u32>| ordered.map_or("none".to_owned(), |n| n.to_string());
    let numbers = claim
        .iter()
        .flat_map(|claim| &claim.numbers)
        .map(|numbers| {
            format!(
                "{} {} began_with={} ordered={} ordered_reclaimable={} planned_reclaimable={} needed_in_all={}",
                numbers.service,
                numbers.zone,
                numbers.found,
                format_number(numbers.firm),
                format_number(numbers.reclaimable),
                format_number(numbers.planned),
                format_number(numbers.needed)
            )
        });
    let wishes = claims::wishes(&newest.records);
    let held = wishes
        .held
        .then(|| "held: no engines are ordered".to_owned());
    let fixed = wishes.fixed.iter().map(|fixed| {
        let kind = kind_name(fixed.reclaimable);
        format!(
            "{} {} fixed {kind}={}",
            fixed.service, fixed.zone, fixed.engines
        )
    });
    Ok(numbers.chain(held).chain(fixed).collect())
}

fn kind_name(reclaimable: bool) -> &'static str {
    if reclaimable { "reclaimable" } else { "others" }
}

/// Suspends or resumes orders for engines.
pub(crate) async fn set_hold(settings: &Settings, held: bool) -> Result<(), Failure> {
    change_wishes(settings, |wishes| wishes.held = held).await
}

/// Fixes a number of engines, or returns it to the plan.
pub(crate) async fn fix(
    settings: &Settings,
    fixed: &FixedCount,
    is_fixed: bool,
) -> Result<(), Failure> {
    let is_same = |other: &FixedCount| {
        (&other.service, &other.zone, other.reclaimable)
            == (&fixed.service, &fixed.zone, fixed.reclaimable)
    };
    change_wishes(settings, |wishes| {
        wishes.fixed.retain(|other| !is_same(other));
        if is_fixed {
            wishes.fixed.push(fixed.clone());
        }
    })
    .await
}

/// Changes the operators' requests, unless another operator does so at the same moment.
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

async fn read_calls(store: &mut Store) -> Result<Vec<StoredCall>, Failure> {
    let newest = store.newest(INSTANCES_TOPIC).await?;
    Ok(newest.records.iter().filter_map(decode_record).collect())
}

fn decode_record(record: &KeyedRecord) -> Option<StoredCall> {
    quarantine_store::call_of(&record.key)?;
    match Suspect::decode(&record.value.as_ref()?[..]) {
        Ok(suspect) => {
            let own = quarantine_store::unix_ms(System::new().wall_time());
            let now_unix_ms = own.max(suspect.written_unix_ms.saturating_add(1));
            let aged = frame::with_current_ages(suspect, now_unix_ms);
            let (call, entry) = frame::decode_suspect(&aged, NOW);
            Some(StoredCall {
                call,
                entry,
                now_unix_ms,
            })
        }
        Err(error) => {
            eprintln!("{}: cannot be parsed: {error}", record.key);
            None
        }
    }
}
