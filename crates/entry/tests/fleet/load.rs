//! Streams that callers ask for all the time, and what became of them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;
use standin::engine::expected_text;

use super::caller::Streamed;
use super::{Caller, eventually};

/// How long a caller bears silence before it turns to another entry.
const SILENCE: Duration = Duration::from_secs(15);

/// How often a caller turns to another entry for one stream.
const TRIES: usize = 20;

/// Tokens of a stream.
const TOKENS: u32 = 300;

/// Streams one after the other from several callers.
pub(crate) struct Load {
    over: Rc<Cell<bool>>,
    whole: Rc<Cell<usize>>,
    callers: Vec<JoinHandle<Vec<(String, Streamed)>>>,
}

impl Load {
    /// Each of `count` callers asks at the entries in turn, and after a broken connection goes on
    /// at the next from the last event that it saw.
    pub(crate) fn start(entries: &[Caller], count: usize) -> Self {
        let over = Rc::new(Cell::new(false));
        let whole = Rc::new(Cell::new(0));
        let callers = (0..count)
            .map(|caller| {
                let (entries, over, whole) = (entries.to_vec(), over.clone(), whole.clone());
                actix_rt::spawn(async move {
                    let mut streams = Vec::new();
                    while !over.get() {
                        let prompt = format!("caller {caller} asks {}", streams.len());
                        let streamed = stream(&entries, caller + streams.len(), &prompt).await;
                        whole.set(whole.get() + usize::from(streamed.done));
                        streams.push((prompt, streamed));
                    }
                    streams
                })
            })
            .collect();
        Self {
            over,
            whole,
            callers,
        }
    }

    /// Waits until `count` more streams are whole.
    pub(crate) async fn more(&self, count: usize) {
        let goal = self.whole.get() + count;
        eventually("streams go on", async || self.whole.get() >= goal).await;
    }

    /// Ends the load. Each stream must be whole, its own and without gap or repeat.
    pub(crate) async fn assert_whole(self) -> usize {
        self.over.set(true);
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
    for attempt in 0..TRIES {
        let entry = &entries[(first + attempt) % entries.len()];
        let part = match all.ids.last() {
            None => entry.stream_patiently(prompt, TOKENS, SILENCE).await,
            Some(last) => entry.resume_patiently(last, SILENCE).await,
        };
        all.extend(part);
        // An error inside a stream is the end of it, and told as such.
        let cut = all.status == 200 && all.error.is_some();
        if all.done || cut {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    all
}
