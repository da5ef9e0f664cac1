//! Who gets a frame from whom. The load that this answers: tens of instances that tell each other of every
//! call, most of them in other data centres, to which bytes are paid for. See
//! `docs/design/platform.md`, "Frames".

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Instances of one data centre from which on a frame goes to one of them, which passes it on. Two cost
/// as much by this way.
const PASSED_ON: usize = 3;

/// Hash of a data centre's name.
pub type Place = u32;

/// The ways of one frame.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Spread {
    /// Instances that get it for themselves.
    pub direct: Vec<SocketAddr>,
    /// Instances that get it and pass it on to the others of their data centre.
    pub passing: Vec<SocketAddr>,
}

/// Spreads a frame to instances with their data centres. The one that passes it on changes with each `turn`,
/// so that one which is paused or cut off costs its data centre a part of the frames, and not all.
pub fn spread(addressees: &[(SocketAddr, Place)], own: Place, turn: usize) -> Spread {
    let mut places: BTreeMap<Place, Vec<SocketAddr>> = BTreeMap::new();
    for (address, place) in addressees {
        places.entry(*place).or_default().push(*address);
    }
    let mut spread = Spread::default();
    for (place, there) in places {
        if place == own || there.len() < PASSED_ON {
            spread.direct.extend(there);
        } else {
            spread.passing.push(there[turn % there.len()]);
        }
    }
    spread
}
