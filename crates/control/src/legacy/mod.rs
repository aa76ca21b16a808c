//! Frames for legacy builds, which may still be in production.
//!
//! Legacy builds read fields with and without names, and ignore unknown fields. Converted here is
//! only what they can't read: newer kinds of messages, and fields whose types changed.

mod incoming;
mod outgoing;

use crate::fleet::{FleetRequest, FleetResponse, GatewayListUpdate, GatewayReport};
use crate::protocol::{Frame, Request, Response};
pub use incoming::IncomingLegacyFrame;
pub use outgoing::OutgoingLegacyFrame;
use std::collections::BTreeMap;
use topazmount_consensus::Term;

/// A full gateway list as in legacy frames: term, count and all gateways.
type FullGatewayList = ((Term, u64), Vec<GatewayReport>);

/// State of one connection to a legacy process, which gets full gateway lists instead of changes.
#[derive(Debug, Default)]
pub struct LegacyLink {
    gateways: BTreeMap<String, GatewayReport>,
    has_gateways: bool,
}

impl LegacyLink {
    /// Converts an outgoing frame; `None` if legacy builds have no such message.
    pub fn outgoing<'a>(&mut self, frame: &'a Frame) -> Option<OutgoingLegacyFrame<'a>> {
        let gateways = self.gateways_in(frame);
        OutgoingLegacyFrame::new(frame, gateways)
    }

    /// Converts a received frame.
    pub fn incoming(&self, frame: IncomingLegacyFrame) -> Frame {
        let mut frame = Frame::from(frame);
        if let Frame::Request(_, Request::Fleet(FleetRequest::Watch(watch))) = &mut frame {
            if !self.has_gateways {
                // Changes are of no use without the list that they belong to.
                watch.seen.gateways = Default::default();
            }
            if let Some(gateway) = &mut watch.gateway {
                gateway.is_legacy = true;
            }
        }
        frame
    }

    /// The full gateway list after applying the changes in a frame.
    fn gateways_in(&mut self, frame: &Frame) -> Option<FullGatewayList> {
        let Frame::Response(_, Response::Fleet(FleetResponse::View(view))) = frame else {
            return None;
        };
        let update = view.gateways.as_ref()?;
        self.apply(update);
        Some((update.count, self.gateways.values().cloned().collect()))
    }

    fn apply(&mut self, update: &GatewayListUpdate) {
        if update.is_full {
            self.gateways.clear();
            self.has_gateways = true;
        }
        for address in &update.removed {
            self.gateways.remove(address);
        }
        for report in &update.changed {
            self.gateways.insert(report.address.clone(), report.clone());
        }
    }
}
