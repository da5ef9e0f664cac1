//! Prints what an instance needs to remember streams that may be resumed, for docs/CAPACITY.md:
//! `cargo run --release -p serving --example stream_origins`.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serving::ServiceName;
use serving::origin::{self, Origins, Software};

/// Streams that are remembered at the most.
const STREAMS: u64 = 16_384;
/// What callers still wait for.
const TIME_LEFT: Duration = Duration::from_secs(8);

fn main() {
    let service: ServiceName = Rc::from("pool");
    let software = Software::from("v1");
    let before = resident_bytes();
    let mut origins = Origins::default();
    let started = Instant::now();
    for number in 0..STREAMS {
        let now = Duration::from_micros(number);
        let key = origin::key("", &service, &number.to_string());
        origins.begin(key, &service, &software, TIME_LEFT, true, now);
    }
    let took = started.elapsed();
    let grown = resident_bytes().saturating_sub(before);
    println!("bytes a stream: {}", grown / STREAMS);
    println!(
        "nanoseconds to begin one: {}",
        took.as_nanos() / u128::from(STREAMS)
    );
    let copied = origins.take_uncopied(Duration::from_millis(20));
    let copied: usize = copied.iter().map(|batch| batch.streams.len()).sum();
    println!("copied: {copied}");
}

/// Memory of this process, by the kernel's count of its pages.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident = pages.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    resident.unwrap_or(0) * PAGE_BYTES
}
