//! Measures the cost of claims in time, memory and bytes for `docs/CAPACITY.md`. Run with
//! `cargo run --release -p claims --example cost [CLAIMS] [BATCH]`.

use std::error::Error;
use std::time::Instant;

use claims::{ClaimTable, Holder};
use wire::Message;
use wire::record::record::Body;
use wire::record::{KeyClaim, KeyClaims, Record};

const HOLDERS: u64 = 8;

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args()
        .skip(1)
        .map(|argument| argument.parse::<u64>());
    let claims = arguments.next().transpose()?.unwrap_or(100_000);
    let batch = arguments.next().transpose()?.unwrap_or(16);
    let records: Vec<Record> = (0..claims / batch)
        .map(|number| record(number, batch))
        .collect();
    let bytes: usize = records.iter().map(Message::encoded_len).sum();
    println!(
        "{} bytes a claim in batches of {batch}",
        bytes as u64 / claims
    );

    let before = resident()?;
    let mut table = ClaimTable::new();
    let start = Instant::now();
    for (offset, record) in (1..).zip(&records) {
        table.apply(offset, record);
    }
    let each = start.elapsed().as_nanos() as u64 / claims;
    println!("{} claims folded, {each} ns each", table.len());
    let grown = (resident()? - before) * 1024;
    println!("{} bytes of memory a claim", grown / claims);
    let start = Instant::now();
    table.forget_before(records.len() as u64 + 1);
    println!(
        "all forgotten in {:?}, {} left",
        start.elapsed(),
        table.len()
    );
    Ok(())
}

fn record(number: u64, batch: u64) -> Record {
    let claim = |position: u64| {
        let id = number * batch + position;
        KeyClaim {
            key: claims::key_digest("kiosks", "cards", &id.to_string()).to_vec(),
            request: format!("00000000-0000-4000-8000-{id:012}"),
            fingerprint: claims::fingerprint("POST", "/cards", &id.to_be_bytes()).to_vec(),
        }
    };
    let holder = Holder {
        instance: format!("entry-{}", number % HOLDERS),
        incarnation: 1_764_700_000_000,
    };
    Record {
        nonce: vec![0; 16],
        rules: 1,
        author: Some((&holder).into()),
        body: Some(Body::KeyClaims(KeyClaims {
            claims: (0..batch).map(claim).collect(),
        })),
    }
}

/// Resident memory of this process in KiB.
fn resident() -> Result<u64, Box<dyn Error>> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .ok_or("VmRSS is missing")?;
    let value = line.split_whitespace().nth(1).ok_or("VmRSS has no value")?;
    Ok(value.parse()?)
}
