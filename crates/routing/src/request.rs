//! The properties of a request that routing depends on.

use std::sync::Arc;

use clock::Moment;
use smallvec::SmallVec;

use crate::{class::Class, pool};

/// Subject of a limit: the name of an owner or of an entry in the catalogue.
pub type Subject = Arc<str>;

/// Model name with version and adapter, for example `verdict@3+texas`.
pub type Model = Arc<str>;

/// A prefix of a prompt. The prefixes of one prompt are listed from shortest to longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Hash of all tokens (or bytes) from the start of the prompt.
    pub hash: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A request before it is sent to an upstream.
#[derive(Clone, Debug)]
pub struct Request {
    /// Pool named by the catalogue entry.
    pub pool: pool::Id,
    /// Subjects whose limits apply: the owner first, then the catalogue entry if it has limits.
    pub subjects: SmallVec<[Subject; 2]>,
    /// Class set by the catalogue entry.
    pub class: Class,
    /// Priority passed to the upstream, 0 highest.
    pub priority: u8,
    /// Model that the engine must have loaded; none for plain services.
    pub model: Option<Model>,
    /// Prompt length in tokens; 0 for plain services.
    pub prompt_tokens: u32,
    /// Expected answer length in tokens; 0 for plain services.
    pub output_tokens: u32,
    /// Prefixes of the prompt, from shortest to longest.
    pub prefixes: SmallVec<[Prefix; 8]>,
    /// Whether the answer is streamed, so that its first token marks the end of the prefill.
    pub streamed: bool,
    /// Time by which the answer (the first token, for engines) is due.
    pub deadline: Moment,
    /// Whether the request may safely run twice.
    pub repeatable: bool,
}

impl Request {
    /// Owner of the request: the first subject.
    pub fn owner(&self) -> Option<&Subject> {
        self.subjects.first()
    }

    /// Expected prompt and answer tokens, charged against token limits.
    pub fn tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}
