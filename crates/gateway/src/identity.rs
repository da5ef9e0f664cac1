//! Finds out whether the process at an engine's address is the one that its record describes. An engine that
//! starts again under its name, at its address, accepts calls that were meant for the process before, and
//! nothing in its answers tells.

use std::time::Duration;

use adapter::upstream;
use bytes::Bytes;
use http1::{Client, Failure};
use serving::engine::Record;
use serving::origin;
use tokio::time::timeout;

use crate::attempt::{MAX_BODY_BYTES, Request};
use crate::conclusion::NotRun;
use crate::instance::Instance;
use crate::{announcements, limits};

/// Time for an engine to tell its state, which takes no slot.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks the engine at the other end of a connection when it started, if the call is a stream that depends on
/// its software version and that version is not certain otherwise.
///
/// # Errors
///
/// If another process than the recorded one listens there, or none answers.
pub(crate) async fn confirm(
    instance: &Instance,
    request: &Request,
    engine: &Record,
    resumes: bool,
    client: &mut Client,
) -> Result<(), NotRun> {
    let kind = request.route.kind;
    let Some(recorded) = engine.started_ms else {
        // An engine without a start time has a new name after a restart.
        return Ok(());
    };
    let now = instance.now();
    let opened = now.saturating_sub(client.age());
    if client.is_identified()
        || !(kind.is_stream() && kind.is_idempotent())
        || !origin::must_identify(resumes, opened, instance.engines_as_of(now), now)
    {
        return Ok(());
    }
    if !limits::try_charge(instance, &engine.id) {
        // Its rate limit is for calls first.
        return Ok(());
    }
    let answer = timeout(REPORT_TIMEOUT, started(instance, engine, client)).await;
    match answer {
        Ok(Ok(Some(started))) if started != recorded => {
            log::info!(id = request.call.id.as_str(), engine = &*engine.id, born = started; "the engine has started again");
            Err(NotRun::Ended)
        }
        Ok(Ok(_)) if client.is_reusable() => {
            client.set_identified();
            Ok(())
        }
        _ => {
            log::info!(id = request.call.id.as_str(), engine = &*engine.id; "the engine does not tell when it started");
            Err(NotRun::Unsent)
        }
    }
}

async fn started(
    instance: &Instance,
    engine: &Record,
    client: &mut Client,
) -> Result<Option<u64>, Failure> {
    let head = upstream::report_request(engine.address);
    let response = client.send(head, &Bytes::new()).await?;
    announcements::observe_own(instance, &engine.id, &response.head);
    let body = client.body(MAX_BODY_BYTES).await?;
    Ok(upstream::parse_report(&body))
}
