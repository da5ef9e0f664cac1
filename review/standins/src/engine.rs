//! An engine that ends when it begins to run a certain request, and is back some seconds later.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use platform_standin::{Cut, Store, partition};
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Time between two records of an engine, and time without one after which the store drops it.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const LAPSE: Duration = Duration::from_millis(3_600);

/// How an engine ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It does not.
    Never,
    /// Its process ends: its port and channels are closed.
    Crash,
    /// Its machine goes dark.
    Dark,
}

/// A request that began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Instant,
    /// Whether the engine ended under it.
    pub is_fatal: bool,
}

/// What all engines of a run share.
pub struct Plan {
    pub store: Store,
    pub service: &'static str,
    pub events: usize,
    pub pause: Duration,
    /// Path of the request that ends engines.
    pub fatal_path: &'static str,
    pub end: End,
    /// Whether answers come in chunks. Others have neither a length nor chunks, and end with their channel;
    /// an engine with such answers writes one event of the request that ends it.
    pub in_chunks: bool,
    /// Time until an engine that has ended is back.
    pub down: Duration,
    /// Addresses of the gateways, which a dark engine does not hear.
    pub gateways: Vec<Ipv4Addr>,
}

/// An engine.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    plan: Rc<Plan>,
    born: Cell<u64>,
    sequence: Cell<u64>,
    is_down: Cell<bool>,
    pub runs: RefCell<Vec<Run>>,
    /// Requests that were running when it ended.
    pub cut: RefCell<Vec<String>>,
    running: RefCell<Vec<String>>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl Engine {
    /// Starts an engine at a free port.
    pub async fn start(plan: &Rc<Plan>, id: &str) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let engine = Rc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            plan: plan.clone(),
            born: Cell::new(0),
            sequence: Cell::new(0),
            is_down: Cell::new(false),
            runs: RefCell::default(),
            cut: RefCell::default(),
            running: RefCell::default(),
            tasks: RefCell::default(),
        });
        engine.clone().boot(listener)?;
        Ok(engine)
    }

    /// Serves until it ends, and starts again.
    fn boot(self: Rc<Self>, listener: TcpListener) -> io::Result<()> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = now.unwrap_or_default().as_millis();
        self.born.set(u64::try_from(born).unwrap_or_default());
        self.sequence.set(0);
        self.is_down.set(false);
        let (partition, handle) = partition::Partition::new(&listener)?;
        let engine = self.clone();
        let beats = actix_rt::spawn(async move {
            loop {
                engine.register();
                sleep(HEARTBEAT).await;
            }
        });
        let engine = self.clone();
        let path = partition.clone();
        let accepting = actix_rt::spawn(async move {
            let _open = handle;
            while let Ok((stream, _)) = listener.accept().await {
                let Ok(connection) = path.accept(&stream) else {
                    continue;
                };
                let serving = engine.clone();
                let path = path.clone();
                let channel = actix_rt::spawn(async move {
                    let _connection = connection;
                    // The channel has ended, whichever side closed it.
                    let _ = serving.channel(stream, &path).await;
                });
                engine.tasks.borrow_mut().push(channel);
            }
        });
        self.tasks.borrow_mut().extend([beats, accepting]);
        Ok(())
    }

    fn register(&self) {
        if self.is_down.get() {
            return;
        }
        self.sequence.set(self.sequence.get() + 1);
        let record = json!({
            "service": self.plan.service, "address": self.address.to_string(), "zone": "a", "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "stage": "decode",
            "models": [{ "name": "m", "version": 1, "adapters": [] }], "sequence": self.sequence.get(),
            "born": self.born.get(),
        });
        self.plan
            .store
            .put("keyed.servers", &self.id, Some(&record));
    }

    /// Ends, and comes back under its id.
    fn end(self: &Rc<Self>, partition: &partition::Partition) {
        if self.is_down.replace(true) {
            return;
        }
        self.cut.borrow_mut().extend(self.running.take());
        if self.plan.end == End::Dark {
            // What it holds stays open and is not served any more; see `channel`.
            partition
                .set(&self.plan.gateways, Cut::Silent)
                .expect("packets can be filtered");
        }
        let engine = self.clone();
        actix_rt::spawn(async move {
            if engine.plan.end == End::Crash {
                engine.close();
            }
            let lapses = engine.plan.down > LAPSE;
            sleep(engine.plan.down.min(LAPSE)).await;
            if lapses {
                engine.plan.store.put("keyed.servers", &engine.id, None);
                sleep(engine.plan.down.saturating_sub(LAPSE)).await;
            }
            engine.close();
            for _ in 0..100 {
                sleep(Duration::from_millis(20)).await;
                if let Ok(listener) = TcpListener::bind(engine.address).await {
                    engine
                        .clone()
                        .boot(listener)
                        .expect("a socket can be duplicated");
                    return;
                }
            }
        });
    }

    fn close(&self) {
        for task in self.tasks.take() {
            task.abort();
        }
    }

    async fn channel(
        self: &Rc<Self>,
        mut stream: TcpStream,
        partition: &partition::Partition,
    ) -> io::Result<()> {
        let mut received = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = received.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                    break at + 4;
                }
                if stream.read_buf(&mut received).await? == 0 {
                    return Ok(());
                }
                self.wait_if_dark().await;
            };
            let head = String::from_utf8_lossy(&received[..end]).into_owned();
            let header = |name: &str| {
                head.lines().skip(1).find_map(|line| {
                    let (other, value) = line.split_once(':')?;
                    other
                        .eq_ignore_ascii_case(name)
                        .then(|| value.trim().to_owned())
                })
            };
            let length = header("content-length").and_then(|value| value.parse().ok());
            let length: usize = length.unwrap_or_default();
            while received.len() < end + length {
                if stream.read_buf(&mut received).await? == 0 {
                    return Ok(());
                }
            }
            received.drain(..end + length);
            self.wait_if_dark().await;
            let id = header("request-id").unwrap_or_default();
            let is_other = header("target-instance").is_some_and(|target| target != self.id);
            if head.starts_with("GET /kv-list") {
                let body = format!(
                    r#"{{"epoch":1,"next_token":0,"held":[],"born":{}}}"#,
                    self.born.get()
                );
                let length = body.len();
                let text = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
                );
                stream.write_all(text.as_bytes()).await?;
            } else if is_other || header("serving-stage").as_deref() == Some("prefill") {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                stream.write_all(text.as_bytes()).await?;
            } else {
                let is_fatal = self.plan.end != End::Never
                    && head
                        .split(' ')
                        .nth(1)
                        .is_some_and(|path| path == self.plan.fatal_path);
                self.runs.borrow_mut().push(Run {
                    id: id.clone(),
                    at: Instant::now(),
                    is_fatal,
                });
                if is_fatal {
                    if !self.plan.in_chunks {
                        stream.write_all(self.head(&id).as_bytes()).await?;
                        stream.write_all(event(&id, 1).as_bytes()).await?;
                    }
                    self.end(partition);
                    self.wait_if_dark().await;
                }
                self.running.borrow_mut().push(id.clone());
                let sent = self.events(&mut stream, &id).await;
                self.running.borrow_mut().retain(|other| *other != id);
                sent?;
            }
        }
    }

    /// Never returns once the engine has ended: its channels are closed when it starts again.
    async fn wait_if_dark(&self) {
        if self.is_down.get() {
            std::future::pending().await
        }
    }

    fn head(&self, id: &str) -> String {
        let framing = match self.plan.in_chunks {
            true => "Transfer-Encoding: chunked",
            false => "Connection: close",
        };
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nWeight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
        )
    }

    async fn events(&self, stream: &mut TcpStream, id: &str) -> io::Result<()> {
        stream.write_all(self.head(id).as_bytes()).await?;
        for number in 1..=self.plan.events {
            self.wait_if_dark().await;
            let event = event(id, number);
            let piece = match self.plan.in_chunks {
                true => format!("{:x}\r\n{event}\r\n", event.len()),
                false => event,
            };
            stream.write_all(piece.as_bytes()).await?;
            // A channel that the other side has closed ends the run.
            let mut probe = [0; 1];
            tokio::select! {
                closed = stream.read(&mut probe) => {
                    if closed? == 0 {
                        return Err(io::ErrorKind::ConnectionAborted.into());
                    }
                }
                () = sleep(self.plan.pause) => {}
            }
        }
        self.wait_if_dark().await;
        if !self.plan.in_chunks {
            // The end of the channel is the end of the answer.
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        stream.write_all(b"0\r\n\r\n").await
    }
}

fn event(id: &str, number: usize) -> String {
    format!("id: {number}\ndata: {id} {number} v1\n\n")
}
