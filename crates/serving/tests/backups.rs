//! Copies of where streams began, at instances other than the one that began them.

mod common;

use std::net::SocketAddr;

use clock::Moment;
use common::{ms, service};
use serving::backups::{BACKUPS, Backups, COPY_INTERVAL, Scope};
use serving::origin::{Origins, Software};

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number], 7_080))
}

fn others(count: u8) -> Vec<SocketAddr> {
    (1..=count).map(address).collect()
}

/// An instance at the first address, with its backups.
#[derive(Default)]
struct Instance(Backups);

impl Instance {
    /// Sends a copy to all backups, of which those in `alive` acknowledge. Returns to whom what went.
    fn copy(
        &mut self,
        others: &[SocketAddr],
        alive: impl Fn(SocketAddr) -> Option<u64>,
        now: Moment,
    ) -> Vec<(SocketAddr, Scope)> {
        let recipients = self.0.recipients(address(0), others, now);
        for (to, _) in &recipients {
            self.0.on_sent(*to, now);
            if let Some(incarnation) = alive(*to) {
                self.0.on_acknowledged(*to, incarnation);
            }
        }
        recipients.to_vec()
    }
}

#[test]
fn a_backup_gets_all_streams_once_and_then_those_that_begin() {
    let others = others(5);
    let mut instance = Instance::default();
    let first = instance.copy(&others, |_| Some(1), ms(0));
    assert_eq!(first.len(), BACKUPS);
    assert!(first.iter().all(|(_, scope)| *scope == Scope::All));
    assert!(!instance.0.is_due(ms(1)));
    assert!(instance.0.is_due(COPY_INTERVAL));
    // Neither one that comes nor one that goes moves the copies.
    let more = self::others(9);
    let then = instance.copy(&more, |_| Some(1), ms(300));
    let expected: Vec<_> = first.iter().map(|(to, _)| (*to, Scope::New)).collect();
    assert_eq!(then, expected);
}

/// Guards against copies at an instance that was killed, is frozen or is cut off.
#[test]
fn a_silent_backup_is_replaced_by_one_that_gets_all_streams() {
    let others = others(5);
    let mut instance = Instance::default();
    let first = instance.copy(&others, |_| Some(1), ms(0));
    let (silent, kept) = (first[0].0, first[1].0);
    let lives = |to| (to != silent).then_some(1);
    // One copy may be lost on the way.
    for at in [300, 600] {
        let copied = instance.copy(&others, lives, ms(at));
        assert!(copied.contains(&(silent, Scope::New)), "{at}");
    }
    let replaced = instance.copy(&others, lives, ms(900));
    assert!(replaced.contains(&(kept, Scope::New)));
    let new = replaced.iter().find(|(_, scope)| *scope == Scope::All);
    assert!(new.is_some_and(|(to, _)| *to != silent), "{replaced:?}");
    assert_eq!(replaced.len(), BACKUPS);
}

/// Guards against copies that are lost as backups are restarted in turn.
#[test]
fn a_backup_that_was_restarted_gets_all_streams_again() {
    let others = others(5);
    let mut instance = Instance::default();
    instance.copy(&others, |_| Some(1), ms(0));
    let restarted = instance.copy(&others, |_| Some(2), ms(300));
    assert!(restarted.iter().all(|(_, scope)| *scope == Scope::New));
    let again = instance.copy(&others, |_| Some(2), ms(600));
    assert!(again.iter().all(|(_, scope)| *scope == Scope::All));
    let then = instance.copy(&others, |_| Some(2), ms(900));
    assert!(then.iter().all(|(_, scope)| *scope == Scope::New));
}

#[test]
fn small_fleets_have_as_many_backups_as_there_are_instances() {
    let mut instance = Instance::default();
    assert!(instance.copy(&[], |_| None, ms(0)).is_empty());
    let one = instance.copy(&others(1), |_| Some(1), ms(300));
    assert_eq!(one, [(address(1), Scope::All)]);
}

/// Guards against a few instances that keep the copies of all.
#[test]
fn copies_are_spread_over_all_instances() {
    let members: Vec<SocketAddr> = (0..100).map(address).collect();
    let mut kept = vec![0; members.len()];
    for own in &members {
        let others: Vec<_> = members.iter().copied().filter(|at| at != own).collect();
        for (to, _) in Backups::default().recipients(*own, &others, ms(0)) {
            kept[members.iter().position(|at| *at == to).expect("a member")] += 1;
        }
    }
    assert!(kept.iter().all(|copies| *copies <= 8), "{kept:?}");
}

/// Guards against losing the streams of an instance that cannot announce them.
#[test]
fn a_backup_announces_streams_in_place_of_the_instance_that_began_them() {
    let (service, v1) = (service(), Software::from("v1"));
    let mut began = Origins::default();
    for key in [1, 2] {
        began.begin(key, &service, &v1, ms(4_000), true, ms(0));
    }
    let new = began.take_uncopied(ms(100));
    // In no particular order.
    let mut all = began.all_own(ms(100));
    all.iter_mut()
        .for_each(|batch| batch.streams.sort_unstable());
    assert_eq!(new, all);
    assert!(began.take_uncopied(ms(100)).is_empty());
    let [batch] = &new[..] else {
        panic!("one service has one version");
    };

    let mut backup = Origins::default();
    assert!(backup.on_batch(batch, true, ms(200)).is_empty());
    let mut keys: Vec<_> = backup
        .unannounced(&service, ms(1_000))
        .iter()
        .map(|note| note.key)
        .collect();
    keys.sort_unstable();
    assert_eq!(keys, [1, 2]);
    assert_eq!(backup.find(1, ms(1_000)), Some(v1.clone()));
    // Its own backups get none of them.
    assert!(backup.all_own(ms(1_000)).is_empty());
    assert!(backup.unannounced(&service, ms(9_200)).is_empty());

    // A copy may arrive after the second version came.
    let mut late = Origins::default();
    assert_eq!(late.on_batch(batch, false, ms(200)).len(), 2);
}

/// Guards against taking the own stop for the silence of the backups: their acknowledgements wait in the socket while
/// this instance is stopped, and a small fleet has no others to turn to for a minute.
#[test]
fn backups_are_kept_over_a_stop_of_this_instance() {
    let others = others(2);
    let mut instance = Instance::default();
    let first = instance.copy(&others, |_| Some(1), ms(0));
    // Stopped before it handles the acknowledgements of the next copy.
    instance.copy(&others, |_| None, ms(250));
    let woken = instance.0.recipients(address(0), &others, ms(10_250));
    let woken: Vec<SocketAddr> = woken.iter().map(|(to, _)| *to).collect();
    let expected: Vec<SocketAddr> = first.iter().map(|(to, _)| *to).collect();
    assert_eq!(woken, expected);
}
