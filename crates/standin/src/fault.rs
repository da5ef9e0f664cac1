//! Fault switches: a plain struct a stand-in, shown and changed over `/fault`.

use std::sync::{Mutex, MutexGuard, PoisonError};

use actix_http::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::http::{HttpRequest, HttpResponse};
use crate::response;

/// How many of the following requests a fault meets. It counts down to zero; a negative number
/// means all of them.
pub type FaultCount = i64;

/// Locks what a stand-in shares between its threads. A panic of another thread is no reason to
/// stop here as well, since all state is changed in whole steps.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Uses up one time of a countdown and says whether the fault is due.
pub fn take_fault(times: &mut FaultCount) -> bool {
    let due = *times != 0;
    if *times > 0 {
        *times -= 1;
    }
    due
}

/// Status of a process that a fault ended.
const EXIT_STATUS: i32 = 70;

/// Ends the process at once, as a crash would.
pub fn exit(place: &str) -> ! {
    log::info!(place; "fault: the process exits");
    std::process::exit(EXIT_STATUS)
}

/// How something that is out answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It works.
    #[default]
    None,
    /// It answers 503 at once, without an effect.
    Refuse,
    /// It takes the request and never answers, without an effect.
    Hang,
}

impl Outage {
    /// Gives the answer of the outage, or nothing if there is none.
    pub async fn response(self) -> Option<HttpResponse> {
        match self {
            Outage::None => None,
            Outage::Refuse => Some(response::unavailable()),
            Outage::Hang => Some(response::never_respond().await),
        }
    }
}

/// The switches of a stand-in with the random numbers for those that are given as a fraction.
#[derive(Debug)]
pub struct FaultSwitches<T> {
    switches: Mutex<T>,
    random: Mutex<StdRng>,
}

impl<T> FaultSwitches<T>
where
    T: Clone + Default + DeserializeOwned + Serialize,
{
    /// All switches in their places of rest; `seed` decides which requests a fraction meets.
    pub fn new(seed: u64) -> Self {
        Self {
            switches: Mutex::new(T::default()),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// A copy of the switches.
    pub fn get(&self) -> T {
        lock(&self.switches).clone()
    }

    /// Changes the switches, for countdowns.
    pub fn update<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        change(&mut lock(&self.switches))
    }

    /// Says whether an event of the given probability happens now.
    pub fn chance(&self, fraction: f64) -> bool {
        fraction > 0.0 && lock(&self.random).random_bool(fraction.clamp(0.0, 1.0))
    }

    /// Answers `/fault`: GET shows the switches, POST changes those that its JSON object names,
    /// DELETE puts all back. Unknown names are refused, and then nothing is changed.
    pub fn handle(&self, call: &HttpRequest) -> HttpResponse {
        match call.method {
            Method::GET => {}
            Method::POST => {
                if let Err(error) = self.merge(&call.body) {
                    return response::bad_request(&error.to_string());
                }
            }
            Method::DELETE => *lock(&self.switches) = T::default(),
            _ => return response::not_found(),
        }
        response::ok(&self.get())
    }

    fn merge(&self, body: &[u8]) -> serde_json::Result<()> {
        let change: Map<String, Value> = serde_json::from_slice(body)?;
        let mut switches = lock(&self.switches);
        let mut merged = serde_json::to_value(&*switches)?;
        if let Value::Object(present) = &mut merged {
            present.extend(change);
        }
        *switches = serde_json::from_value(merged)?;
        Ok(())
    }
}
