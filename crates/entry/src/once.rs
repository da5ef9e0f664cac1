//! Calls that may not be repeated: one execution at most, whatever callers, entries and the log do.
//! See [docs/design/at-most-once.md](../../../docs/design/at-most-once.md).
//!
//! Such a call runs in a task of its own, so that it comes to its end and its answer is held when
//! the caller's connection is gone.

use catalogue::Entry;

use crate::account::Account;
use crate::completion::{self, Asked};
use crate::front::problem::{Kind, Problem};
use crate::front::reply::Reply;
use crate::plain;
use crate::work::Work;

/// Claims of `Idempotency-Key`s.
#[derive(Debug, Default)]
pub struct Keys;

/// How a request ended, with its account still open.
#[derive(Debug)]
pub struct Ended {
    /// The reply or the error.
    pub result: Result<Reply, Problem>,
    /// The account.
    pub account: Account,
}

/// Runs a completion.
pub async fn completion(mut work: Work, entry: &Entry, asked: Asked) -> Ended {
    if !entry.repeatable {
        return detached(work, entry.clone(), Some(asked)).await;
    }
    let result = completion::run(&mut work, entry, &asked).await;
    ended(work, result)
}

/// Runs a call to a plain service.
pub async fn plain(mut work: Work, entry: &Entry) -> Ended {
    if !entry.repeatable {
        return detached(work, entry.clone(), None).await;
    }
    let result = plain::run(&mut work, entry, false).await;
    ended(work, result)
}

fn ended(work: Work, result: Result<Reply, Problem>) -> Ended {
    Ended {
        result,
        account: work.account,
    }
}

/// Runs a call in a task that its caller's connection does not take along.
async fn detached(work: Work, entry: Entry, asked: Option<Asked>) -> Ended {
    let shared = work.worker.shared.clone();
    let request = work.account.request().clone();
    let counted = shared.life.task();
    let task = actix_rt::spawn(async move {
        let _counted = counted;
        let mut work = work;
        let result = match &asked {
            Some(asked) => completion::run(&mut work, &entry, asked).await,
            None => plain::run(&mut work, &entry, true).await,
        };
        ended(work, result)
    });
    task.await.unwrap_or_else(|_| Ended {
        result: Err(Problem::unknown(
            Kind::BadGateway,
            "the call broke off inside the entry",
        )),
        account: Account::open(shared, request),
    })
}
