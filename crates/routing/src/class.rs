//! Classes of requests, from the one that is shed last to the one that is shed first.

/// What a request is for, which decides who goes first and who is shed first. The order of the
/// variants is the order of service; see docs/CLASSES.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Short calls with a hard deadline, never shed for others.
    Authorisation,
    /// Short reports with a hard deadline, served right after authorisations.
    Status,
    /// A person waits for the first token.
    Interactive,
    /// The result is fetched within minutes to hours.
    Dispatch,
    /// It may wait long and is shed first.
    Batch,
}

impl Class {
    /// All classes in order of service.
    pub const ALL: [Self; 5] = [
        Self::Authorisation,
        Self::Status,
        Self::Interactive,
        Self::Dispatch,
        Self::Batch,
    ];

    /// Number of classes.
    pub const COUNT: usize = Self::ALL.len();

    /// Position in the order of service, 0 first.
    pub fn rank(self) -> usize {
        self as usize
    }

    /// Whether the class goes before everything else and is never shed while any capacity is left.
    pub fn is_urgent(self) -> bool {
        matches!(self, Self::Authorisation | Self::Status)
    }
}
