//! Tells the end of an engine from all else that cuts a call.
//!
//! A call whose connection breaks says little: a reset, a lost answer and a broken body leave their engine alive, and a silent link
//! may hide one that works. An engine that has ended refuses connections, since nothing listens at its address until it is back
//! seconds later. So a broken call has its engine tried with one connection, and only a refusal, or another engine that
//! answers there, counts. One that said that it leaves has not crashed, whatever becomes of its last calls.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use clock::Moment;
use http1::{Client, Failure, Patience};
use serving::EngineId;
use serving::engine::{Record, State};
use serving::fingerprint::Fingerprint;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::attempt::Request;
use crate::instance::Instance;
use crate::placement;
use crate::suspects::{self, Subject};

/// Time for a connection to open, or to be refused.
const CONNECT: Duration = Duration::from_millis(350);
const PATIENCE: Patience = Patience::within(CONNECT);
/// Time within which a process that ends closes all its sockets, on a busy machine too. Its calls may be cut before its port is
/// closed, and a connection that opens in between says nothing until it has outlived this.
const SOCKETS_CLOSE: Duration = Duration::from_millis(350);
/// Pause between two checks of such a connection.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Pause between two tries of an engine that is silent.
const AGAIN: Duration = Duration::from_millis(20);
/// Tries of an engine that tells nothing, of which each takes as long as a connection may if its link is silent. Engines are back within
/// some seconds; from then on, the address tells nothing of the one before.
const TRIES: usize = 8;
/// Time from a call's start at an engine within which the engine ends if it ends of the call. A caller that leaves sooner does not
/// see it.
const ENDING: Duration = Duration::from_millis(500);
/// Longest time that a call which may end engines waits to know whether it has ended one more, before it is sent again.
const KNOWING: Duration = Duration::from_millis(400);

/// What one connection tells of an engine.
enum Sign {
    Ended,
    Lives,
    Silent,
}

/// What is being found out.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    /// Engines that are tried now, each with a word once it has ended.
    tried: RefCell<BTreeMap<EngineId, watch::Receiver<bool>>>,
    /// Calls that broke off at engines of which it is not known yet, once for each.
    open: RefCell<Vec<Fingerprint>>,
}

impl Crashes {
    fn close(&self, call: Fingerprint) {
        let mut open = self.open.borrow_mut();
        if let Some(found) = open.iter().position(|other| *other == call) {
            open.swap_remove(found);
        }
    }
}

/// Takes in that an engine's answer to a call broke off. Returns once it is known whether the engine has ended, if that
/// matters for what is done with the call next.
pub(crate) async fn broke_off(instance: &Rc<Instance>, asked: &Request, engine: &Record) {
    if is_leaving(instance, &engine.id) {
        return;
    }
    let at = suspects::now(instance);
    let call = asked.fingerprint();
    let matters =
        instance.suspects.is_noted(asked) || instance.crashes.open.borrow().contains(&call);
    instance.crashes.open.borrow_mut().push(call);
    let mut known = known(instance, engine);
    let noting = {
        let (instance, engine, subject) = (instance.clone(), engine.clone(), asked.subject());
        let known = known.clone();
        async move {
            note_end(&instance, &subject, &engine, at, known).await;
            instance.crashes.close(call);
        }
    };
    let noting = actix_rt::spawn(noting);
    if matters {
        let noted = async {
            drop(known.wait_for(|ended| *ended).await);
            drop(noting.await);
        };
        if timeout(KNOWING, noted).await.is_err() {
            log::debug!(engine = &*engine.id; "it is not known yet whether an engine has ended");
        }
    }
}

/// Takes in that a suspect was given up while an engine had it. Its caller sees no end of the engine any more, and without this a call
/// whose caller never waits would end engines unseen.
pub(crate) fn given_up(instance: &Rc<Instance>, asked: &Request, engine: &EngineId) {
    if !instance.suspects.is_noted(asked) || is_leaving(instance, engine) {
        return;
    }
    let Some(engine) = placement::record(instance, engine) else {
        return;
    };
    let (instance, subject) = (instance.clone(), asked.subject());
    actix_rt::spawn(async move {
        let at = suspects::now(&instance);
        sleep(ENDING).await;
        if !is_leaving(&instance, &engine.id) {
            let known = known(&instance, &engine);
            note_end(&instance, &subject, &engine, at, known).await;
        }
    });
}

/// Notes the end of an engine under a call once it is known, if it has ended.
async fn note_end(
    instance: &Instance,
    subject: &Subject,
    engine: &Record,
    at: Moment,
    mut known: watch::Receiver<bool>,
) {
    // A try that ends without a word is one that did not tell.
    if known.wait_for(|ended| *ended).await.is_ok() {
        instance.suspects.crashed(subject, engine, at);
        instance.stirred.notify_one();
    }
}

/// Whether an engine is to leave or has left, so that its end says nothing of its calls.
fn is_leaving(instance: &Instance, engine: &EngineId) -> bool {
    let fleet = instance.fleet.borrow();
    let known = fleet.get(engine);
    known.is_none_or(|known| known.record_gone || known.record.state == State::Draining)
}

/// Says whether an engine has ended, once that is known. All calls that break at once share one try.
fn known(instance: &Rc<Instance>, engine: &Record) -> watch::Receiver<bool> {
    let mut tried = instance.crashes.tried.borrow_mut();
    if let Some(known) = tried.get(&engine.id) {
        return known.clone();
    }
    let (tell, known) = watch::channel(false);
    tried.insert(engine.id.clone(), known.clone());
    let (instance, engine) = (instance.clone(), engine.clone());
    actix_rt::spawn(async move {
        if has_ended(&instance, &engine).await {
            tell.send_replace(true);
        }
        instance.crashes.tried.borrow_mut().remove(&engine.id);
    });
    known
}

async fn has_ended(instance: &Instance, engine: &Record) -> bool {
    for _ in 0..TRIES {
        match sign(instance, engine).await {
            Sign::Ended => return true,
            Sign::Lives => {
                log::info!(engine = &*engine.id; "an engine whose answer broke off lives");
                return false;
            }
            Sign::Silent => sleep(AGAIN).await,
        }
    }
    false
}

async fn sign(instance: &Instance, engine: &Record) -> Sign {
    let is_replaced = {
        let fleet = instance.fleet.borrow();
        let known = fleet.get(&engine.id);
        known.is_some_and(|known| known.health.has_ended())
    };
    if is_replaced {
        return Sign::Ended;
    }
    match Client::open(engine.address, &PATIENCE, &instance.codec).await {
        Ok(mut client) => {
            if !stays_open(&mut client).await {
                return Sign::Silent;
            }
            instance.pool.give(&engine.id, client, None, instance.now());
            Sign::Lives
        }
        Err(Failure::NotSent(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            Sign::Ended
        }
        Err(_) => Sign::Silent,
    }
}

/// Whether a connection outlives the end of a process that was ending when it opened.
async fn stays_open(client: &mut Client) -> bool {
    let until = Instant::now() + SOCKETS_CLOSE;
    while client.is_reusable() {
        if Instant::now() >= until {
            return true;
        }
        sleep(POLL_INTERVAL).await;
    }
    false
}
