//! Request classes, in order of service.

/// Class of a request. It decides the order of service, which is the order of the variants, and
/// the order of shedding, which is the reverse; see docs/CLASSES.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Short calls with a hard deadline; never shed in favour of other classes.
    Authorisation,
    /// Short reports with a hard deadline, served directly after authorisations.
    Status,
    /// A person is waiting for the first token.
    Interactive,
    /// The result is collected minutes to hours later.
    Dispatch,
    /// Work without urgency; shed first.
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

    /// Position in the order of service, starting at 0.
    pub fn rank(self) -> usize {
        self as usize
    }

    /// Whether the class is served before all others and never shed while any capacity is left.
    pub fn is_urgent(self) -> bool {
        matches!(self, Self::Authorisation | Self::Status)
    }
}
