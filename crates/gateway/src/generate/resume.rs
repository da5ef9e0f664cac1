//! Streams that their callers resume.

use adapter::ingress::Call;
use serving::origin::{self, Evidence, Key, Software, Unresolved};

use super::Run;
use crate::metrics;

impl Run<'_> {
    /// Binds a stream that the caller resumes to the software version that began it. Returns whether that
    /// is known.
    pub(super) async fn bind_resumed(&mut self) -> bool {
        let (instance, call) = (self.instance, &self.request.call);
        let service = &self.request.service.name;
        let is_named = named_attempt(call).is_some();
        let resolution = instance
            .resolve_stream(self.stream_key(), service, is_named)
            .await;
        let (origin, basis) = describe(&resolution.origin);
        self.software = resolution.origin.ok().map(|(software, _)| software);
        let [read, announced] = instance.engines_ages();
        log::info!(
            id = call.id.as_str(), resumes = call.resumes.as_deref().unwrap_or_default(),
            after = call.resume_after, software = self.software.as_deref().unwrap_or("unknown"), basis = basis,
            asked = resolution.asked, answered = resolution.answered,
            read_age_ms:? = read.map(|age| age.as_millis()),
            announced_age_ms:? = announced.map(|age| age.as_millis());
            "resumed by its caller"
        );
        instance.metrics.stream_resumed(origin);
        self.software.is_some()
    }

    /// Identifies the stream over its caller's attempts.
    pub(super) fn stream_key(&self) -> Key {
        let request = self.request;
        let attempt = named_attempt(&request.call).unwrap_or(&request.call.id);
        origin::key(request.principal.name(), &request.service.name, attempt)
    }
}

/// The attempt that began a stream, if its caller resumes it and names one.
fn named_attempt(call: &Call) -> Option<&str> {
    let resumes = call.resume_after.and(call.resumes.as_deref());
    resumes.filter(|attempt| !attempt.is_empty())
}

/// Label and text of where a version is known from, or why it is not.
fn describe(
    resolved: &Result<(Software, Evidence), Unresolved>,
) -> (metrics::Origin, &'static str) {
    match resolved {
        Ok((_, Evidence::Note)) => (metrics::Origin::Known, "noted"),
        Ok((_, Evidence::OnlyVersion)) => (metrics::Origin::OnlyVersion, "only version"),
        Err(Unresolved::Restarted) => (metrics::Origin::Unknown, "engine restarted"),
        Err(Unresolved::Conflicting) => (metrics::Origin::Unknown, "conflicting"),
        Err(Unresolved::SeveralVersions) => (metrics::Origin::Unknown, "several versions"),
        Err(Unresolved::Unknown) => (metrics::Origin::Unknown, "engines not known"),
    }
}
