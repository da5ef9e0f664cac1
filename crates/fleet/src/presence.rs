//! State of one member, derived from its mark in the list, its silence and its heartbeats.

use std::time::Duration;

use clock::Moment;
use wire::peer::Heartbeat;

use crate::Incarnation;
use crate::list::Mark;
use crate::member::{
    Hearing, LocalMember, Member, Output, Outputs, Progress, Refusal, Settings, State,
};

/// Kinds of frames of which only the newest counts; see `sequence_slot` in [`crate::Members`].
pub(crate) const SEQUENCE_SLOTS: usize = 4;

impl Member {
    pub(crate) fn new(id: &str, now: Moment) -> Self {
        Self {
            id: id.to_owned(),
            incarnation: None,
            state: State::Suspect,
            hearing: Hearing::Unknown,
            listed: None,
            address: String::new(),
            data_centre: String::new(),
            known_since: now,
            heard_at: None,
            incarnation_since: None,
            progress: Progress::default(),
            present_at: now,
            sent_ms: 0,
            echoed_at: None,
            sequences: [0; SEQUENCE_SLOTS],
        }
    }

    /// Time since it was last heard.
    pub fn silence(&self, now: Moment) -> Duration {
        now.saturating_sub(self.heard_at.unwrap_or(self.known_since))
    }

    /// Derives the state from its mark in the list, its last heartbeat and its silence.
    pub(crate) fn derive_state(&self, now: Moment, settings: &Settings) -> State {
        // While it is listed it counts as present; see `Members::update_states`.
        if now.saturating_sub(self.present_at) >= settings.gone_after {
            return State::Gone;
        }
        if self.progress.leaving || self.listed == Some(Mark::Leaving) {
            return State::Leaving;
        }
        match self.heard_at {
            Some(at) if now.saturating_sub(at) < settings.suspect_after => State::Alive,
            _ => State::Suspect,
        }
    }

    /// Adopts the sender's incarnation if it is newer, and rejects an older one.
    ///
    /// Otherwise a delayed confirmation of a dead process would count for its successor, which
    /// still sends to the upstream that is being closed.
    pub(crate) fn accept_incarnation(
        &mut self,
        now: Moment,
        incarnation: Incarnation,
        outputs: &mut Outputs,
    ) -> Result<(), Refusal> {
        match self.incarnation {
            Some(known) if incarnation < known => return Err(Refusal::OlderIncarnation),
            Some(known) if incarnation == known => return Ok(()),
            Some(_) => outputs.push(Output::Restarted {
                id: self.id.clone(),
                incarnation,
            }),
            None => {}
        }
        self.incarnation = Some(incarnation);
        self.incarnation_since = Some(now);
        // The silence so far was the previous process's, so this is not a return.
        self.heard_at = Some(now);
        self.progress = Progress::default();
        self.sent_ms = 0;
        self.echoed_at = None;
        self.hearing = Hearing::Unknown;
        self.sequences = Default::default();
        Ok(())
    }

    /// Records a frame of the newest incarnation, and reports a return after a silence.
    pub(crate) fn record_frame(&mut self, now: Moment, settings: &Settings, outputs: &mut Outputs) {
        let silent = self.silence(now);
        if silent >= settings.suspect_after {
            outputs.push(Output::Returned {
                id: self.id.clone(),
                silent,
            });
        }
        self.heard_at = Some(now);
        self.present_at = now;
    }

    pub(crate) fn apply_heartbeat(
        &mut self,
        local: &LocalMember,
        heartbeat: &Heartbeat,
        outputs: &mut Outputs,
    ) {
        self.progress = Progress::from(heartbeat);
        self.sent_ms = heartbeat.sent_ms;
        self.data_centre.clone_from(&heartbeat.data_centre);
        let Some(echo) = heartbeat.echo else { return };
        if echo.incarnation > local.incarnation {
            outputs.push(Output::Superseded(echo.incarnation));
        }
        if echo.incarnation == local.incarnation && echo.sent_ms > 0 {
            self.echoed_at = Some(Duration::from_millis(echo.sent_ms));
        }
    }

    /// A peer is deaf if it is heard and has had time to hear this process, yet echoes nothing
    /// recent. Otherwise a one-way partition would look healthy from this side.
    pub(crate) fn derive_hearing(
        &self,
        now: Moment,
        listening_since: Moment,
        settings: &Settings,
    ) -> Hearing {
        let (Some(heard_at), Some(since)) = (self.heard_at, self.incarnation_since) else {
            return Hearing::Unknown;
        };
        if now.saturating_sub(heard_at) >= settings.suspect_after {
            return Hearing::Unknown;
        }
        let recent = |at: Moment| now.saturating_sub(at) < settings.suspect_after;
        if self.echoed_at.is_some_and(recent) {
            return Hearing::Hears;
        }
        if recent(since) || recent(listening_since) {
            return self.hearing;
        }
        Hearing::Deaf
    }
}
