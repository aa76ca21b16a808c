//! Sends the leader's orders and report requests to replicas and reports the outcomes to the member.

use super::dialect::{Dialect, HttpRequest};
use super::external_log::ExternalLog;
use super::http_client::HttpClient;
use crate::Executor;
use crate::control_process::LocalMember;
use crate::http1::ClientAnswer;
use async_channel::Receiver;
use eyre::Result;
use std::sync::Arc;
use std::time::Duration;
use topazmount_control::{ActionReport, FleetAction, FleetRequest, OrderOutcome, Request};
use topazmount_types::Start;

/// Time limit for a call to a replica and for reporting its outcome.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest response of a replica.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// Sends orders and report requests.
#[derive(Clone)]
pub(super) struct OrderSender {
    /// Receives the outcomes.
    pub(super) member: LocalMember,
    /// Defines headers, paths and body formats.
    pub(super) dialect: Arc<dyn Dialect>,
    /// Name of the process that sends the orders.
    pub(super) leader: String,
    /// Logs responses that are not reports of a replica.
    pub(super) external_log: Arc<ExternalLog>,
}

/// Executes actions until the member stops.
pub(super) async fn run(executor: Executor, actions: Receiver<FleetAction>, sender: OrderSender) {
    while let Ok(action) = actions.recv().await {
        let sender = sender.clone();
        let task = async move {
            for report in sender.execute(action).await {
                let request = Request::Fleet(FleetRequest::ActionEnded(report));
                let _ = sender.member.ask(request, CALL_TIMEOUT).await;
            }
        };
        executor.spawn(task).detach();
    }
}

impl OrderSender {
    /// Executes an action and returns the reports to the member, in order.
    async fn execute(&self, action: FleetAction) -> Vec<ActionReport> {
        match action {
            FleetAction::Order(order) => {
                let response =
                    send(&order.address, self.dialect.order_call(&order, &self.leader)).await;
                let pushback = self.pushback_report(&response, &order.instance, order.start);
                let outcome = match &response {
                    Ok(response) => self.dialect.order_outcome(response.head.status.code()),
                    Err(_) => OrderOutcome::Unknown,
                };
                log::info!(
                    "weights: event=order instance={} start={} model={} version={} fence={} sequence={} end={}",
                    order.instance,
                    order.start,
                    order.model,
                    order.version,
                    order.fence,
                    order.expected_sequence,
                    outcome.name()
                );
                let report = ActionReport::Order(order.instance, order.start, outcome);
                pushback.into_iter().chain([report]).collect()
            }
            FleetAction::Query { instance, start, address } => {
                let response = send(&address, self.dialect.report_call()).await;
                let pushback = self.pushback_report(&response, &instance, start);
                let is_ok = |response: &ClientAnswer| response.head.status.code() == 200;
                let body = response.ok().filter(is_ok).map(|response| response.body);
                let report = body.as_ref().and_then(|body| self.dialect.parse_report(body));
                if body.is_some() && report.is_none() {
                    self.external_log.record("report_foreign", &instance, "unreadable");
                }
                let report = ActionReport::Query(instance, report);
                pushback.into_iter().chain([report]).collect()
            }
        }
    }

    /// The pushback in a response, if there is any.
    fn pushback_report(
        &self,
        response: &Result<ClientAnswer>,
        instance: &str,
        start: Start,
    ) -> Option<ActionReport> {
        let pushback = self.dialect.response_metadata(&response.as_ref().ok()?.head).pushback;
        if !pushback.is_requested() {
            return None;
        }
        log::info!(
            "weights: event=pushback instance={instance} start={start} rest_ms={} leaving={}",
            pushback.backoff.map_or_else(|| "none".to_owned(), |rest| rest.as_millis().to_string()),
            pushback.is_leaving
        );
        Some(ActionReport::Pushback(instance.to_owned(), start, pushback))
    }
}

/// Sends a call exactly once, since an order may be executed although no response arrives.
async fn send(address: &str, request: HttpRequest) -> Result<ClientAnswer> {
    HttpClient::new(address)?.call(request, MAX_RESPONSE_BYTES, CALL_TIMEOUT).await
}
