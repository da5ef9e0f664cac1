//! Fault switches: one plain struct per stand-in, read and changed through `/fault`.

use std::sync::{Mutex, MutexGuard, PoisonError};

use actix_http::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::http::{HttpRequest, HttpResponse};
use crate::response;

/// How many of the following requests a fault affects. Counts down to zero; a negative number
/// affects all of them.
pub type FaultCount = i64;

/// Locks state shared between threads. Poisoning is ignored: a panic in another thread leaves no
/// state half changed.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Decrements a fault count and returns whether the fault applies to this request.
pub fn take_fault(count: &mut FaultCount) -> bool {
    let due = *count != 0;
    if *count > 0 {
        *count -= 1;
    }
    due
}

/// Exit status of a process that was ended by a fault.
const FAULT_EXIT_STATUS: i32 = 70;

/// Exits immediately, as in a crash.
pub fn exit(place: &str) -> ! {
    log::info!(place; "fault: process exits");
    std::process::exit(FAULT_EXIT_STATUS)
}

/// How an interface behaves during an outage.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Requests get 503 at once and have no effect.
    Refuse,
    /// Requests are accepted, never answered, and have no effect.
    Hang,
}

impl Outage {
    /// Returns the response during an outage, or `None` without one.
    pub async fn response(self) -> Option<HttpResponse> {
        match self {
            Outage::None => None,
            Outage::Refuse => Some(response::unavailable()),
            Outage::Hang => Some(response::never_respond().await),
        }
    }
}

/// The fault switches of a stand-in and the random generator for faults given as a fraction.
#[derive(Debug)]
pub struct FaultSwitches<T> {
    values: Mutex<T>,
    random: Mutex<StdRng>,
}

impl<T> FaultSwitches<T>
where
    T: Clone + Default + DeserializeOwned + Serialize,
{
    /// All faults off; `seed` decides which requests a fraction selects.
    pub fn new(seed: u64) -> Self {
        Self {
            values: Mutex::new(T::default()),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Returns a copy of the switches.
    pub fn get(&self) -> T {
        lock(&self.values).clone()
    }

    /// Changes the switches in place, for fault counts.
    pub fn update<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        change(&mut lock(&self.values))
    }

    /// Draws whether an event of the given probability happens.
    pub fn chance(&self, fraction: f64) -> bool {
        fraction > 0.0 && lock(&self.random).random_bool(fraction.clamp(0.0, 1.0))
    }

    /// Handles `/fault`: GET returns the switches, POST changes those named in its JSON object and
    /// DELETE resets all. A request with an unknown name is rejected and changes nothing.
    pub fn handle(&self, request: &HttpRequest) -> HttpResponse {
        match request.method {
            Method::GET => {}
            Method::POST => {
                if let Err(error) = self.merge(&request.body) {
                    return response::bad_request(&error.to_string());
                }
            }
            Method::DELETE => *lock(&self.values) = T::default(),
            _ => return response::not_found(),
        }
        response::ok(&self.get())
    }

    fn merge(&self, body: &[u8]) -> serde_json::Result<()> {
        let change: Map<String, Value> = serde_json::from_slice(body)?;
        let mut switches = lock(&self.values);
        let mut merged = serde_json::to_value(&*switches)?;
        if let Value::Object(object) = &mut merged {
            object.extend(change);
        }
        *switches = serde_json::from_value(merged)?;
        Ok(())
    }
}
