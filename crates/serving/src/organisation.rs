//! Organisations and the keys by which their callers identify themselves. Keys are secrets, so this
//! module and all that builds on it see only their digests, salted for one reading of the
//! configuration. See `docs/design/organisations.md`.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;

use crate::engine::Rank;
use crate::hash;

/// Name of an organisation.
pub type Name = Rc<str>;

/// Id of an organisation in messages between instances: a hash of its name, never 0.
pub type Id = u64;

/// The id of the organisation with this name.
pub fn id(name: &str) -> Id {
    hash::hash64(name).max(1)
}

/// Bytes of a [`Salt`].
pub const SALT_BYTES: usize = 32;

/// The salt of key digests, drawn anew for each reading of a configuration, so that equal keys in
/// two configurations have unrelated digests.
pub type Salt = [u8; SALT_BYTES];

/// Bytes of a [`Digest`]. At this length a guessed key matches one of 10,000 digests with a chance
/// of 1 in 2^114.
pub const DIGEST_BYTES: usize = 16;

/// The digest of a key.
pub type Digest = [u8; DIGEST_BYTES];

/// Computes the digest of a key.
pub fn digest(salt: &Salt, key: &[u8]) -> Digest {
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&blake3::keyed_hash(salt, key).as_bytes()[..DIGEST_BYTES]);
    digest
}

/// One organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Its name, which is forwarded to upstreams.
    pub name: Name,
    /// Rank of its calls; if set, it takes precedence over the rank of the route.
    pub priority: Option<Rank>,
}

/// A fault in a list of organisations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Two organisations hold the same key, which then identifies neither.
    SharedKey(Name, Name),
    /// Two organisations have the same name.
    SharedName(Name),
    /// An organisation without a name.
    NoName,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SharedKey(one, other) => write!(f, "{one} and {other} hold the same key"),
            Self::SharedName(name) => write!(f, "two organisations are named {name}"),
            Self::NoName => f.write_str("an organisation has no name"),
        }
    }
}

/// The organisations of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    salt: Salt,
    by_key: HashMap<Digest, Rc<Organisation>>,
    names: HashMap<Id, Name>,
}

impl Directory {
    /// A directory of organisations with the digests of their keys under `salt`. An organisation
    /// without keys cannot call.
    ///
    /// # Errors
    ///
    /// Returns all faults found.
    pub fn new(
        salt: Salt,
        organisations: Vec<(Organisation, Vec<Digest>)>,
    ) -> Result<Self, Vec<Finding>> {
        let mut names = HashSet::new();
        let mut by_key: HashMap<Digest, Rc<Organisation>> = HashMap::new();
        let mut findings = Vec::new();
        for (organisation, digests) in organisations {
            let organisation = Rc::new(organisation);
            if organisation.name.is_empty() {
                findings.push(Finding::NoName);
            }
            if !names.insert(organisation.name.clone()) {
                findings.push(Finding::SharedName(organisation.name.clone()));
            }
            for digest in digests {
                let previous = by_key.insert(digest, organisation.clone());
                let other_holder = previous.filter(|before| before.name != organisation.name);
                findings.extend(other_holder.map(|other| {
                    Finding::SharedKey(other.name.clone(), organisation.name.clone())
                }));
            }
        }
        if findings.is_empty() {
            Ok(Self {
                salt,
                by_key,
                names: names.into_iter().map(|name| (id(&name), name)).collect(),
            })
        } else {
            Err(findings)
        }
    }

    /// How many organisations there are.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// The name of the organisation with this id.
    pub fn name(&self, id: Id) -> Option<&Name> {
        self.names.get(&id)
    }

    /// The organisation that holds a key. The look-up is by digest, so that its duration does not
    /// reveal how much of a wrong key is right.
    pub fn holder(&self, key: &[u8]) -> Option<&Rc<Organisation>> {
        self.by_key.get(&digest(&self.salt, key))
    }
}
