//! Which connections to a listener stay open.

use serving::connection_limit::Connections;

/// Guards against clients that send nothing and keep the connections of others out.
#[test]
fn a_new_connection_takes_the_place_of_the_oldest_without_a_request() {
    let mut connections = Connections::new(3);
    let used = connections.add().0;
    connections.on_served(used);
    let (oldest, _) = connections.add();
    let (second, evicted) = connections.add();
    assert_eq!(evicted, None);
    assert_eq!(connections.add().1, Some(oldest));
    assert_eq!(connections.add().1, Some(second));
}

#[test]
fn among_used_connections_the_least_recently_used_is_closed() {
    let mut connections = Connections::new(2);
    let [first, second] = [(); 2].map(|()| connections.add().0);
    connections.on_served(second);
    connections.on_served(first);
    assert_eq!(connections.add().1, Some(second));
}

#[test]
fn a_closed_connection_leaves_room() {
    let mut connections = Connections::new(1);
    let (first, _) = connections.add();
    assert!(connections.remove(first));
    assert_eq!(connections.add().1, None);
    assert!(!connections.remove(first));
}
