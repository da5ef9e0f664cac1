//! Callers: each sends one call after the other, on connections that it keeps as long as they are open.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http1::{Client, Failure, TcpTimeouts};
use platform_standin::request::{self, FORGED_HEADERS, ResponseSummary};
use rand::RngExt as _;
use rand::rngs::StdRng;
use tokio::time::{Instant, sleep, timeout};

use crate::history::{Ask, Call, End};
use crate::plan;
use crate::world::{FATAL, ORGANISATIONS, World, key};

/// Time that a caller waits, as it tells the gateway.
const DEADLINE: u32 = 3_000;
/// A caller leaves after this: the deadline, and what an answer at its end takes on a busy machine.
const LEAVES: Duration = Duration::from_secs(5);
/// Longest pause between two calls of one caller, in milliseconds.
const PAUSE: u64 = 60;
/// Longest pause between two repeats of the call that ends engines.
const FATAL_PAUSE: u64 = 300;
/// One call in this many bears forged headers, or is left early.
const ONE_IN: u32 = 12;
/// One call that is to go on elsewhere in this many bears a key that nobody was given instead.
const KEYLESS: u64 = 3;
/// Largest answer, in bytes.
const MOST: usize = 1 << 16;

const PATIENCE: TcpTimeouts = TcpTimeouts {
    connect: Duration::from_secs(2),
    acknowledge: LEAVES,
    probe_interval: LEAVES,
    probe_count: 1,
};

/// Whether callers go on.
#[derive(Debug, Default)]
pub struct Going(Cell<bool>);

impl Going {
    /// Callers that go on until [`Going::stop`].
    pub fn new() -> Self {
        Self(Cell::new(true))
    }

    /// Lets them finish the call in hand.
    pub fn stop(&self) {
        self.0.set(false);
    }
}

/// One caller.
pub struct Caller {
    world: Rc<World>,
    name: String,
    organisation: &'static str,
    begun: Instant,
    rng: StdRng,
    sent: u64,
    /// A kept connection, with its gateway and the start of it.
    kept: Option<(Client, usize, u32)>,
}

impl Caller {
    /// A caller whose ids no other run has.
    pub fn new(world: &Rc<World>, seed: u64, number: u64, begun: Instant) -> Self {
        Self {
            world: world.clone(),
            name: format!("{:08x}{number:02x}", plan::mark(seed) >> 32),
            organisation: ORGANISATIONS[usize::from(number % 2 == 1)],
            begun,
            rng: plan::callers(seed, number),
            sent: 0,
            kept: None,
        }
    }

    /// Calls until told to stop.
    pub async fn run(mut self, going: Rc<Going>) {
        while going.0.get() {
            let number = self.rng.random_range(0..self.world.instances.len());
            let ask = self.draw();
            self.call(number, ask).await;
            sleep(Duration::from_millis(self.rng.random_range(0..PAUSE))).await;
        }
    }

    /// Sends the call that ends engines while its fault lasts.
    pub async fn repeat_fatal(mut self, going: Rc<Going>) {
        while going.0.get() {
            if self.world.is_fatal.get() {
                let number = self.rng.random_range(0..self.world.instances.len());
                self.call(number, Ask::Fatal).await;
            }
            sleep(Duration::from_millis(self.rng.random_range(0..FATAL_PAUSE))).await;
        }
    }

    fn draw(&mut self) -> Ask {
        match self.rng.random_range(0..10) {
            0..=2 => Ask::Once,
            3 | 4 => Ask::Safe,
            5..=7 => Ask::Stream,
            8 if self.sent.is_multiple_of(KEYLESS) => Ask::Keyless,
            8 => Ask::Resume,
            _ => Ask::Added(self.rng.random_range(1..=self.world.version())),
        }
    }

    /// Sends one call and notes what came of it.
    pub async fn call(&mut self, number: usize, ask: Ask) -> End {
        self.sent += 1;
        let id = format!("{}{:06x}", self.name, self.sent);
        let sent = self.begun.elapsed();
        // The connection's own gateway is called while it lasts.
        let (client, gateway, start) = match self.open(number).await {
            Ok(open) => open,
            Err(start) => {
                self.note(id, ask, number, start, sent, End::NotConnected);
                return End::NotConnected;
            }
        };
        let leaves = if self.rng.random_ratio(1, ONE_IN) {
            Duration::from_millis(self.rng.random_range(1..30))
        } else {
            LEAVES
        };
        let forged = self.rng.random_ratio(1, ONE_IN);
        let asking = exchange(client, ask, &id, self.organisation, forged);
        let (end, client) = timeout(leaves, asking).await.unwrap_or((End::Left, None));
        self.kept = client.map(|client| (client, gateway, start));
        self.note(id, ask, gateway, start, sent, end.clone());
        end
    }

    /// Gives the kept connection up.
    pub fn forget(&mut self) {
        self.kept = None;
    }

    async fn open(&mut self, number: usize) -> Result<(Client, usize, u32), u32> {
        if let Some((mut client, gateway, start)) = self.kept.take()
            && client.is_reusable()
        {
            return Ok((client, gateway, start));
        }
        let instance = &self.world.instances[number];
        let start = instance.gateway.borrow().starts;
        let opened = Client::open(instance.callers.address, &PATIENCE, &http1::config()).await;
        opened
            .map(|client| (client, number, start))
            .map_err(|_| start)
    }

    fn note(&self, id: String, ask: Ask, gateway: usize, start: u32, sent: Duration, end: End) {
        self.world.history.borrow_mut().calls.push(Call {
            id,
            ask,
            organisation: self.organisation,
            gateway,
            start,
            sent,
            ended: self.begun.elapsed(),
            end,
        });
    }
}

fn path(ask: Ask) -> String {
    match ask {
        Ask::Safe | Ask::Keyless => "/safe/x".to_owned(),
        Ask::Once => "/once/x".to_owned(),
        Ask::Stream => "/stream/x".to_owned(),
        Ask::Resume => "/resume/x".to_owned(),
        Ask::Fatal => FATAL.to_owned(),
        Ask::Added(version) => format!("/added-{version}/x"),
    }
}

/// Sends a call and reads its answer. Gives the connection back where it can be used on.
async fn exchange(
    mut client: Client,
    ask: Ask,
    id: &str,
    organisation: &str,
    forged: bool,
) -> (End, Option<Client>) {
    let parts = format!("a{id}:80,b{id}:20");
    let key = match ask {
        Ask::Keyless => "nobody's".to_owned(),
        _ => key(organisation),
    };
    let mut headers = vec![("key", key.as_str())];
    if ask.is_stream() {
        headers.extend(request::generation_headers("100,20", &parts));
    }
    if forged {
        headers.extend(FORGED_HEADERS);
    }
    let head = request::call(&path(ask), id, DEADLINE, &headers);
    let answer = match client.send(head, &Bytes::new()).await {
        Ok(answer) => answer,
        Err(Failure::Broken(why)) => {
            // Bytes that are no answer: as bad as another call's answer.
            let body = Some(Bytes::from(why));
            let (status, signed, says_when) = (200, false, false);
            return (
                End::Answer {
                    status,
                    signed,
                    says_when,
                    body,
                },
                None,
            );
        }
        Err(_) => return (End::Closed, None),
    };
    let seen = ResponseSummary::from(&answer.head);
    let body = client.body(MOST).await.ok();
    let client = body.is_some().then_some(client);
    let end = End::Answer {
        status: seen.status,
        signed: seen.signed,
        says_when: seen.retry_after.is_some(),
        body,
    };
    (end, client)
}
