//! Handles the instance list and frames between entries.

use clock::Moment;
use fleet::list::Listing;
use fleet::{member, upstream};
use wire::peer::{Frame, frame};

use super::Process;
use crate::{Line, Name};

impl Process {
    /// Reads the instance list.
    pub(crate) fn read_list(&mut self, now: Moment, listing: Listing) -> Vec<Line> {
        self.listing.read(now, listing);
        let view = self.listing.clone();
        let outputs = self.upstreams.step(now, upstream::Input::List(&view));
        let mut lines = self.handle_upstreams(outputs);
        let outputs = self.members.step(now, member::Input::List(&view));
        lines.extend(self.handle_members(outputs).0);
        lines
    }

    /// Returns the frames that are due, each with its receiver.
    pub(crate) fn tick_members(&mut self, now: Moment) -> (Vec<Line>, Vec<(Name, Frame)>) {
        let progress = self.progress();
        let outputs = self.members.step(now, member::Input::Tick(progress));
        let (lines, heartbeats) = self.handle_members(outputs);
        let local = self.members.local().clone();
        let open = self.open_streams.clone();
        let confirmations = self
            .drain
            .due_confirmations(|upstream| open.get(upstream).copied().unwrap_or(0));
        let mut frames = Vec::new();
        for (to, body) in heartbeats {
            frames.push((to.clone(), self.frame(body)));
            for confirm in &confirmations {
                frames.push((
                    to.clone(),
                    self.frame(frame::Body::Confirm(confirm.clone())),
                ));
            }
        }
        for confirm in &confirmations {
            self.drain.confirm_local(&local, confirm);
        }
        (lines, frames)
    }

    /// Handles a frame from another entry.
    pub(crate) fn receive_frame(&mut self, now: Moment, frame: &Frame) -> Vec<Line> {
        let outputs = self.members.step(now, member::Input::Frame(frame));
        let refused = outputs
            .iter()
            .any(|output| matches!(output, member::Output::Refused(_)));
        let (lines, _) = self.handle_members(outputs);
        if !refused {
            // A process that has folded the log before may resume after a frame from a peer; see
            // `fleet::member::Output::Paused`.
            self.view_is_current |= self.read_upto > 0;
            self.drain.confirm(frame);
        }
        lines
    }

    fn frame(&mut self, body: frame::Body) -> Frame {
        self.last_sequence += 1;
        Frame {
            from: Some((&self.author()).into()),
            sequence: self.last_sequence,
            body: Some(body),
        }
    }

    fn handle_members(
        &mut self,
        outputs: member::Outputs,
    ) -> (Vec<Line>, Vec<(Name, frame::Body)>) {
        let mut lines = Vec::new();
        let mut heartbeats = Vec::new();
        for output in outputs {
            match output {
                member::Output::SendHeartbeat { to, heartbeat } => {
                    heartbeats.push((to, frame::Body::Heartbeat(heartbeat)));
                }
                member::Output::Restarted { id, .. } => {
                    lines.push(self.line(format!("{id} was restarted")));
                }
                member::Output::Paused(_) => {
                    self.view_is_current = false;
                    lines.push(self.line("was paused"));
                }
                member::Output::Superseded(_) => lines.push(self.line("was superseded")),
                member::Output::Changed { .. }
                | member::Output::Returned { .. }
                | member::Output::HearingChanged { .. }
                | member::Output::Refused(_) => {}
            }
        }
        (lines, heartbeats)
    }
}
