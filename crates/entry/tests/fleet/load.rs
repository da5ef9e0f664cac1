//! A load of continuous streams, and checks of their results.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;
use standin::engine::expected_text;

use super::caller::Streamed;
use super::{Caller, eventually};

/// Time without data after which a caller switches to another entry.
const SILENCE_LIMIT: Duration = Duration::from_secs(15);

/// Largest number of attempts for one stream, each at another entry.
const MAX_ATTEMPTS: usize = 20;

/// Number of tokens of a stream.
const TOKENS: u32 = 300;

/// Several callers, each of which requests one stream after another.
pub(crate) struct Load {
    stopped: Rc<Cell<bool>>,
    completed: Rc<Cell<usize>>,
    callers: Vec<JoinHandle<Vec<(String, Streamed)>>>,
}

impl Load {
    /// Starts `count` callers. Each uses the entries in turn, and after a broken connection resumes
    /// at the next one after the last event that it received.
    pub(crate) fn start(entries: &[Caller], count: usize) -> Self {
        let stopped = Rc::new(Cell::new(false));
        let completed = Rc::new(Cell::new(0));
        let callers = (0..count)
            .map(|caller| {
                let (entries, stopped, completed) =
                    (entries.to_vec(), stopped.clone(), completed.clone());
                actix_rt::spawn(async move {
                    let mut streams = Vec::new();
                    while !stopped.get() {
                        let prompt = format!("caller {caller} asks {}", streams.len());
                        let streamed = stream(&entries, caller + streams.len(), &prompt).await;
                        completed.set(completed.get() + usize::from(streamed.done));
                        streams.push((prompt, streamed));
                    }
                    streams
                })
            })
            .collect();
        Self {
            stopped,
            completed,
            callers,
        }
    }

    /// Waits until `count` more streams are completed.
    pub(crate) async fn wait_for_streams(&self, count: usize) {
        let goal = self.completed.get() + count;
        eventually("streams are completed", async || {
            self.completed.get() >= goal
        })
        .await;
    }

    /// Ends the load and asserts that each stream was completed with the expected text.
    pub(crate) async fn assert_complete(self) -> usize {
        self.stopped.set(true);
        let mut count = 0;
        for caller in self.callers {
            for (prompt, streamed) in caller.await.unwrap() {
                assert!(streamed.done, "{prompt}: {streamed:?}");
                assert_eq!(streamed.text, expected_text(&prompt, TOKENS), "{prompt}");
                count += 1;
            }
        }
        assert!(count > 0);
        count
    }
}

async fn stream(entries: &[Caller], first: usize, prompt: &str) -> Streamed {
    let mut all = Streamed::default();
    for attempt in 0..MAX_ATTEMPTS {
        let entry = &entries[(first + attempt) % entries.len()];
        let part = match all.ids.last() {
            None => {
                entry
                    .stream_until_silent(prompt, TOKENS, SILENCE_LIMIT)
                    .await
            }
            Some(last) => entry.resume_until_silent(last, SILENCE_LIMIT).await,
        };
        all.extend(part);
        // An error event within a stream ends it.
        let cut = all.status == 200 && all.error.is_some();
        if all.done || cut {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    all
}
