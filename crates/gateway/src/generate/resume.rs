//! Streams that their callers resume.

use serving::origin::{self, Key};

use super::Run;
use crate::metrics;

impl Run<'_> {
    /// Binds a stream that the caller resumes to the software version that began it. Returns whether that
    /// is known.
    pub(super) async fn bind_resumed(&mut self) -> bool {
        let (instance, call) = (self.instance, &self.request.call);
        let service = &self.request.service.name;
        self.software = instance.resolve_stream(self.stream_key(), service).await;
        log::info!(
            id = call.id.as_str(), resumes = call.resumes.as_deref().unwrap_or_default(),
            after = call.resume_after, software = self.software.as_deref().unwrap_or("unknown");
            "resumed by its caller"
        );
        let is_known = self.software.is_some();
        instance.metrics.stream_resumed(match is_known {
            true => metrics::Origin::Known,
            false => metrics::Origin::Unknown,
        });
        is_known
    }

    /// Identifies the stream over its caller's attempts.
    pub(super) fn stream_key(&self) -> Key {
        let request = self.request;
        let attempt = match request.call.resume_after {
            Some(_) => request.call.resumes.as_deref().unwrap_or_default(),
            None => &request.call.id,
        };
        origin::key(request.principal.name(), &request.service.name, attempt)
    }
}
