//! What a decision has to know of a request.

use std::sync::Arc;

use clock::Moment;
use smallvec::SmallVec;

use crate::{class::Class, pool};

/// What a limit is set for: an owner's name in the catalogue, or an entry's.
pub type Subject = Arc<str>;

/// Model with version and adapter as one name, for example `verdict@3+texas`.
pub type Model = Arc<str>;

/// A leading part of a prompt: its chained hash and its length. A prompt's prefixes are given from
/// the shortest to the longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Hash over all tokens (or bytes) from the start of the prompt.
    pub hash: u64,
    /// Tokens that the prefix covers.
    pub tokens: u32,
}

/// One request as the entry sees it before it goes to an upstream.
#[derive(Clone, Debug)]
pub struct Request {
    /// Pool that the catalogue's entry names.
    pub pool: pool::Id,
    /// Whose limits apply: the owner's first, then the catalogue entry's own where it has some.
    pub subjects: SmallVec<[Subject; 2]>,
    /// Class of the catalogue's entry.
    pub class: Class,
    /// Priority to state to the upstream, 0 highest.
    pub priority: u8,
    /// Model that an engine must have loaded; none for plain services.
    pub model: Option<Model>,
    /// Tokens of the prompt; 0 for plain services.
    pub prompt_tokens: u32,
    /// Expected tokens of the answer; 0 for plain services.
    pub output_tokens: u32,
    /// Prefixes of the prompt, shortest first.
    pub prefixes: SmallVec<[Prefix; 8]>,
    /// Whether the answer comes as a stream, so that its first token tells that the prefill is done.
    pub streamed: bool,
    /// Moment by which the answer (of an engine: the first token) is owed.
    pub deadline: Moment,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
}

impl Request {
    /// Whose request it is: the first of those whose limits apply.
    pub fn owner(&self) -> Option<&Subject> {
        self.subjects.first()
    }

    /// All tokens that the request is expected to use, for owners' limits.
    pub fn tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}
