//! Resumes streams for callers that lost their connection, possibly to another entry.

use actix_http::header::HeaderValue;
use clock::{Clock as _, Moment};
use control::View;

use crate::front::problem::{Kind, Problem};
use crate::front::reply::Reply;
use crate::metrics::Metric;
use crate::request_record::RequestRecord;
use crate::shared::{Worker, unix_time};
use crate::stream::event_id::EventIdError;
use crate::stream::relay::{Relay, StreamSource};

/// A request to resume a stream.
#[derive(Debug)]
pub struct Resumption<'a> {
    /// Owner of the caller's key.
    pub owner: &'a str,
    /// Id of the last event that the caller received.
    pub last: &'a str,
    /// Deadline of the rest of the stream.
    pub deadline: Moment,
}

/// Resumes a stream at its engine after the last event that the caller received. The entry that
/// started the stream is not involved, since it may be gone.
///
/// # Errors
///
/// The event id is invalid, or the engine no longer has the stream.
pub async fn run(
    worker: &Worker,
    view: &View,
    resumption: &Resumption<'_>,
    record: &mut RequestRecord,
) -> Result<Reply, Problem> {
    let shared = &worker.shared;
    let (location, number) = shared
        .event_ids
        .decode(resumption.last, resumption.owner, unix_time(&shared.clock))
        .map_err(invalid_event_id)?;
    let catalogue = view.catalogue.as_deref();
    if let Some(entry) = catalogue.and_then(|catalogue| catalogue.entry(&location.entry)) {
        record.set_entry(entry);
    }
    let address = view
        .upstream(&location.engine)
        .and_then(|upstream| upstream.address.parse().ok())
        .ok_or_else(|| gone("its engine is gone"))?;
    record.set_upstream(&location.engine.as_str().into());
    let request = HeaderValue::try_from(location.request.as_str())
        .map_err(|_| gone("its request id cannot be sent"))?;
    let source = StreamSource {
        address,
        next_event: number + 1,
        owner: resumption.owner.to_owned(),
        request,
        deadline: resumption.deadline.max(shared.clock.now()),
        prompt_bytes: 0,
        location,
    };
    shared.metrics.add(Metric::Resumptions, 1);
    let mut relay = Box::new(Relay::new(worker.clone(), source, None));
    let first = relay.first_events().await.map_err(|end| end.problem())?;
    Ok(Reply::Events {
        relay,
        first,
        attempt: None,
    })
}

fn invalid_event_id(refused: EventIdError) -> Problem {
    match refused {
        EventIdError::Forged => Problem::not_run(
            Kind::BadRequest,
            "Last-Event-ID is none of this owner's event ids",
        ),
        EventIdError::Expired => gone("the event id has expired"),
    }
}

fn gone(detail: &str) -> Problem {
    Problem::unknown(Kind::StreamGone, detail)
}
