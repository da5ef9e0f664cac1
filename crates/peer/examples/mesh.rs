//! Measures the cost of heartbeats: a full mesh of endpoints on loopback in one process, with one
//! heartbeat a second to each peer. Results are in `docs/design/membership.md`.
//!
//! `cargo run --release -p peer --example mesh [N...]`; the default sizes are 6, 12, 24 and 48.
//! Each takes about ten seconds.

#![allow(clippy::print_stdout, reason = "a program that reports")]

use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::time::{interval, sleep};
use peer::issue::Authority;
use peer::{Config, Mesh, Peer};
use wire::peer::frame::Body;
use wire::peer::{Echo, Heartbeat};
use wire::record::Author;

/// Age at which the handshake and redundant connections no longer affect the measurement.
const MIN_CONNECTION_AGE: Duration = Duration::from_secs(2);
/// Number of checks, 250 ms apart, before the mesh counts as not settled.
const MAX_POLLS: u32 = 80;
/// Duration of the measurement.
const MEASURED_SECONDS: u32 = 6;
/// UDP and IPv4 headers of a datagram.
const HEADER_BYTES: u64 = 28;
/// Unit of the processor times in `/proc`.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Totals over all endpoints.
#[derive(Clone, Copy, Default)]
struct Sample {
    frames: u64,
    udp: u64,
    datagrams: u64,
    cpu: f64,
    memory: u64,
}

#[actix_rt::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .map(|arg| arg.parse())
        .collect::<Result<_, _>>()?;
    let sizes = if sizes.is_empty() {
        vec![6, 12, 24, 48]
    } else {
        sizes
    };
    println!(
        "   N  links  frame B  wire B/s: each instance  a peer  dgrams/s a peer    CPU % each  us a peer a s  KB a link"
    );
    for size in sizes {
        measure(size).await?;
    }
    Ok(())
}

async fn measure(size: usize) -> Result<(), Box<dyn Error>> {
    let before = memory()?;
    let meshes = start(size).await?;
    let first = sample(&meshes)?;
    let mut ticks = interval(Duration::from_secs(1));
    for second in 0..MEASURED_SECONDS {
        ticks.tick().await;
        send_heartbeats(&meshes, u64::from(second));
    }
    ticks.tick().await;
    let last = sample(&meshes)?;
    report(size, before, first, last, &meshes);
    let closing: Vec<_> = meshes
        .into_iter()
        .map(|mesh| actix_rt::spawn(async move { mesh.close().await }))
        .collect();
    for task in closing {
        task.await?;
    }
    Ok(())
}

async fn start(size: usize) -> Result<Vec<Mesh>, Box<dyn Error>> {
    let authority = Authority::new("measurement").map_err(|error| format!("{error:?}"))?;
    let mut meshes = Vec::new();
    for n in 0..size {
        let own = Author {
            instance: name(n),
            incarnation: 1_764_000_000_000,
        };
        let keys = authority
            .issue(&own.instance)
            .map_err(|error| format!("{error:?}"))?;
        let config = Config::new(own, SocketAddr::from(([127, 0, 0, 1], 0)), keys);
        meshes.push(Mesh::start(config, |_| {}).map_err(|error| format!("{error:?}"))?);
    }
    let mut peers = Vec::new();
    for (n, mesh) in meshes.iter().enumerate() {
        let address = mesh.address().map_err(|error| format!("{error:?}"))?;
        peers.push(Peer {
            id: name(n),
            address,
        });
    }
    for mesh in &meshes {
        mesh.set_members(&peers);
    }
    for _ in 0..MAX_POLLS {
        sleep(Duration::from_millis(250)).await;
        let settled = |mesh: &Mesh| {
            let links = mesh.status();
            links.len() + 1 == size && links.iter().all(|link| link.age > MIN_CONNECTION_AGE)
        };
        if meshes.iter().all(settled) {
            return Ok(meshes);
        }
    }
    Err("the mesh did not settle".into())
}

/// Sends the heartbeats of a membership, which differ only in the echo for each peer.
fn send_heartbeats(meshes: &[Mesh], second: u64) {
    for mesh in meshes {
        for peer in mesh.status() {
            let heartbeat = Heartbeat {
                folded: 1_000_000 + second,
                revision: 990_000,
                data_centre: "miraflores".to_owned(),
                leaving: false,
                rules: 1,
                sent_ms: 86_400_000 + second * 1000,
                echo: Some(Echo {
                    incarnation: 1_764_000_000_000,
                    sent_ms: 86_399_000 + second * 1000,
                }),
            };
            // A heartbeat that is not sent shows in the measured counts.
            let _unsent = mesh.send(&peer.id, Body::Heartbeat(heartbeat));
        }
    }
}

fn report(size: usize, before: u64, first: Sample, last: Sample, meshes: &[Mesh]) {
    let seconds = f64::from(MEASURED_SECONDS);
    let instances = size as f64;
    let links: usize = meshes.iter().map(|mesh| mesh.status().len()).sum();
    let ends = links as f64;
    let datagrams = (last.datagrams - first.datagrams) as f64;
    let wire = (last.udp - first.udp) as f64 + datagrams * HEADER_BYTES as f64;
    let frames = (last.frames - first.frames) as f64;
    let cpu = last.cpu - first.cpu;
    println!(
        "{size:4}  {links:5}  {frame:7.1}  {each:23.0}  {peer:6.1}  {rate:15.2}  {share:12.3}  {micros:13.1}  {kilobytes:9.1}",
        links = links / 2,
        frame = frames / (ends * seconds),
        each = wire / instances / seconds,
        peer = wire / ends / seconds,
        rate = datagrams / ends / seconds,
        share = cpu / seconds / instances * 100.0,
        micros = cpu / seconds / ends * 1e6,
        kilobytes = last.memory.saturating_sub(before) as f64 / 1024.0 / ends,
    );
}

fn sample(meshes: &[Mesh]) -> Result<Sample, Box<dyn Error>> {
    let mut sample = Sample {
        cpu: cpu()?,
        memory: memory()?,
        ..Sample::default()
    };
    for mesh in meshes {
        let traffic = mesh.traffic();
        sample.udp += traffic.udp.sent.bytes;
        sample.datagrams += traffic.udp.sent.messages;
        let sent = traffic.kinds.values().map(|flow| flow.sent.bytes);
        sample.frames += sent.sum::<u64>();
    }
    Ok(sample)
}

/// Processor seconds of this process, user and system.
fn cpu() -> Result<f64, Box<dyn Error>> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |index: usize| -> Result<f64, Box<dyn Error>> {
        Ok(fields.get(index).ok_or("short stat")?.parse::<f64>()?)
    };
    Ok((ticks(11)? + ticks(12)?) / CLOCK_TICKS_PER_S)
}

/// Resident memory of this process in bytes.
fn memory() -> Result<u64, Box<dyn Error>> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .ok_or("no VmRSS")?;
    let kilobytes: u64 = line.split_whitespace().nth(1).ok_or("no figure")?.parse()?;
    Ok(kilobytes * 1024)
}

fn name(n: usize) -> String {
    format!("entry-{n}")
}
