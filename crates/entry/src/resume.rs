//! Streams resumed for a caller that lost its connection, perhaps to another entry.

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

/// What is asked for.
#[derive(Debug)]
pub struct Resumption<'a> {
    /// The owner who calls.
    pub owner: &'a str,
    /// Id of the last event that the caller saw.
    pub last: &'a str,
    /// When the rest is of no use any more.
    pub deadline: Moment,
}

/// Resumes a stream at its engine after the last event that the caller saw. The entry that began
/// it takes no part: it may be gone.
///
/// # Errors
///
/// The id is not good, or the engine has the stream no more.
pub async fn run(
    worker: &Worker,
    view: &View,
    resumption: &Resumption<'_>,
    account: &mut RequestRecord,
) -> Result<Reply, Problem> {
    let shared = &worker.shared;
    let (place, number) = shared
        .event_ids
        .decode(resumption.last, resumption.owner, unix_time(&shared.clock))
        .map_err(refused)?;
    let catalogue = view.catalogue.as_deref();
    if let Some(entry) = catalogue.and_then(|catalogue| catalogue.entry(&place.entry)) {
        account.set_entry(entry);
    }
    let address = view
        .upstream(&place.engine)
        .and_then(|upstream| upstream.address.parse().ok())
        .ok_or_else(|| gone("its engine is gone"))?;
    account.set_upstream(&place.engine.as_str().into());
    let request = HeaderValue::try_from(place.request.as_str())
        .map_err(|_| gone("its request id cannot be sent"))?;
    let origin = StreamSource {
        address,
        next_event: number + 1,
        owner: resumption.owner.to_owned(),
        request,
        deadline: resumption.deadline.max(shared.clock.now()),
        prompt_bytes: 0,
        location: place,
    };
    shared.metrics.add(Metric::Resumptions, 1);
    let mut relay = Box::new(Relay::new(worker.clone(), origin, None));
    let first = relay.first_events().await.map_err(|end| end.problem())?;
    Ok(Reply::Events {
        relay,
        first,
        attempt: None,
    })
}

fn refused(refused: EventIdError) -> Problem {
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
