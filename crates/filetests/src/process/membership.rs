//! The instance list and the frames of other entries.

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
        let mut lines = self.take_upstreams(outputs);
        let outputs = self.members.step(now, member::Input::List(&view));
        lines.extend(self.take_members(outputs).0);
        lines
    }

    /// Gives the frames that are due, each with its addressee.
    pub(crate) fn tick_members(&mut self, now: Moment) -> (Vec<Line>, Vec<(Name, Frame)>) {
        let progress = self.progress();
        let outputs = self.members.step(now, member::Input::Tick(progress));
        let (lines, beats) = self.take_members(outputs);
        let own = self.members.local().clone();
        let open = self.open.clone();
        let owed = self
            .drain
            .due_confirmations(|upstream| open.get(upstream).copied().unwrap_or(0));
        let mut frames = Vec::new();
        for (to, body) in beats {
            frames.push((to.clone(), self.frame(body)));
            for confirm in &owed {
                frames.push((
                    to.clone(),
                    self.frame(frame::Body::Confirm(confirm.clone())),
                ));
            }
        }
        for confirm in &owed {
            self.drain.confirm_local(&own, confirm);
        }
        (lines, frames)
    }

    /// Takes a frame in.
    pub(crate) fn hear(&mut self, now: Moment, frame: &Frame) -> Vec<Line> {
        let outputs = self.members.step(now, member::Input::Frame(frame));
        let refused = outputs
            .iter()
            .any(|output| matches!(output, member::Output::Refused(_)));
        let (lines, _) = self.take_members(outputs);
        if !refused {
            // A process that has folded the log before may go on by what a peer tells; see
            // `fleet::member::Output::Paused`.
            self.current |= self.read_upto > 0;
            self.drain.confirm(frame);
        }
        lines
    }

    fn frame(&mut self, body: frame::Body) -> Frame {
        self.frames += 1;
        Frame {
            from: Some((&self.author()).into()),
            sequence: self.frames,
            body: Some(body),
        }
    }

    fn take_members(&mut self, outputs: member::Outputs) -> (Vec<Line>, Vec<(Name, frame::Body)>) {
        let mut lines = Vec::new();
        let mut beats = Vec::new();
        for output in outputs {
            match output {
                member::Output::SendHeartbeat { to, heartbeat } => {
                    beats.push((to, frame::Body::Heartbeat(heartbeat)));
                }
                member::Output::Restarted { id, .. } => {
                    lines.push(self.say(format!("{id} was restarted")));
                }
                member::Output::Paused(_) => {
                    self.current = false;
                    lines.push(self.say("was paused"));
                }
                member::Output::Superseded(_) => lines.push(self.say("was superseded")),
                member::Output::Changed { .. }
                | member::Output::Returned { .. }
                | member::Output::HearingChanged { .. }
                | member::Output::Refused(_) => {}
            }
        }
        (lines, beats)
    }
}
