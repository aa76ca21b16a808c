//! Frames in the form of the first builds, which a build in production may still speak.
//!
//! Those builds read fields with names as well as without, and pass over fields that they do not know. What follows is
//! only what they can't read: kinds of messages that are newer, and fields whose types have changed.

mod incoming;
mod outgoing;

use crate::fleet::{FleetRequest, FleetResponse, GatewayListUpdate, GatewayReport};
use crate::protocol::{Frame, Request, Response};
pub use incoming::IncomingLegacyFrame;
pub use outgoing::OutgoingLegacyFrame;
use std::collections::BTreeMap;
use topazmount_consensus::Term;

/// A list of gateways as the first form has it: its term and count, and all of them.
type WholeList = ((Term, u64), Vec<GatewayReport>);

/// What one connection to a process that speaks the first form has carried: such a process is told whole lists of
/// gateways, where others are told changes.
#[derive(Debug, Default)]
pub struct LegacyLink {
    gateways: BTreeMap<String, GatewayReport>,
    has_gateways: bool,
}

impl LegacyLink {
    /// A frame as the other side reads it; `None` where it has no such message.
    pub fn outgoing<'a>(&mut self, frame: &'a Frame) -> Option<OutgoingLegacyFrame<'a>> {
        let gateways = self.gateways_in(frame);
        OutgoingLegacyFrame::new(frame, gateways)
    }

    /// A frame that came.
    pub fn incoming(&self, frame: IncomingLegacyFrame) -> Frame {
        let mut frame = Frame::from(frame);
        if let Frame::Request(_, Request::Fleet(FleetRequest::Watch(watch))) = &mut frame
            && !self.has_gateways
        {
            // Changes say nothing without the list that they belong to.
            watch.seen.gateways = Default::default();
        }
        frame
    }

    /// The whole list of gateways, after a frame that has changes of it.
    fn gateways_in(&mut self, frame: &Frame) -> Option<WholeList> {
        let Frame::Response(_, Response::Fleet(FleetResponse::View(view))) = frame else {
            return None;
        };
        let news = view.gateways.as_ref()?;
        self.apply(news);
        Some((news.count, self.gateways.values().cloned().collect()))
    }

    fn apply(&mut self, news: &GatewayListUpdate) {
        if news.is_full {
            self.gateways.clear();
            self.has_gateways = true;
        }
        for address in &news.removed {
            self.gateways.remove(address);
        }
        for report in &news.changed {
            self.gateways.insert(report.address.clone(), report.clone());
        }
    }
}
