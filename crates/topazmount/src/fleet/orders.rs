//! Sends the leader's orders and questions to replicas, and tells how they ended.

use super::caller::Caller;
use super::dialect::{Dialect, HttpRequest};
use super::external_log::ExternalLog;
use crate::Executor;
use crate::control_process::LocalMember;
use crate::http1::ClientAnswer;
use async_channel::Receiver;
use eyre::Result;
use std::sync::Arc;
use std::time::Duration;
use topazmount_control::{ActionReport, FleetAction, FleetRequest, OrderOutcome, Request};
use topazmount_types::Start;

/// Longest wait for the answer to an order or a question.
const LIMIT: Duration = Duration::from_millis(500);
/// Largest answer.
const MAX_ANSWER: usize = 256 * 1024;

/// Who sends orders and questions.
#[derive(Clone)]
pub(super) struct Sender {
    /// Hears how they ended.
    pub(super) member: LocalMember,
    /// Names, formats and calls.
    pub(super) dialect: Arc<dyn Dialect>,
    /// Who gives the orders.
    pub(super) holder: String,
    /// Takes note of answers that are no reports.
    pub(super) foreign: Arc<ExternalLog>,
}

/// Sends actions until the member stops.
pub(super) async fn run(executor: Executor, actions: Receiver<FleetAction>, sender: Sender) {
    while let Ok(action) = actions.recv().await {
        let sender = sender.clone();
        let sending = async move {
            for report in sender.act(action).await {
                let request = Request::Fleet(FleetRequest::ActionEnded(report));
                let _ = sender.member.ask(request, LIMIT).await;
            }
        };
        executor.spawn(sending).detach();
    }
}

impl Sender {
    /// Returns what is to be told of it, in order.
    async fn act(&self, action: FleetAction) -> Vec<ActionReport> {
        match action {
            FleetAction::Order(order) => {
                let answer =
                    send(&order.address, self.dialect.order_call(&order, &self.holder)).await;
                let said = self.pushback(&answer, &order.instance, order.start);
                let end = match &answer {
                    Ok(answer) => self.dialect.order_outcome(answer.head.status),
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
                    end.name()
                );
                let ended = ActionReport::Order(order.instance, order.start, end);
                said.into_iter().chain([ended]).collect()
            }
            FleetAction::Query { instance, start, address } => {
                let answer = send(&address, self.dialect.report_call()).await;
                let said = self.pushback(&answer, &instance, start);
                let is_good = |answer: &ClientAnswer| answer.head.status == 200;
                let body = answer.ok().filter(is_good).map(|answer| answer.body);
                let report = body.as_ref().and_then(|body| self.dialect.parse_report(body));
                if body.is_some() && report.is_none() {
                    self.foreign.note("report_foreign", &instance, "unreadable");
                }
                let ended = ActionReport::Query(instance, report);
                said.into_iter().chain([ended]).collect()
            }
        }
    }

    /// What an answer asks of this member.
    fn pushback(
        &self,
        answer: &Result<ClientAnswer>,
        instance: &str,
        start: Start,
    ) -> Option<ActionReport> {
        let said = self.dialect.response_metadata(&answer.as_ref().ok()?.head).pushback;
        if !said.asks() {
            return None;
        }
        log::info!(
            "weights: event=pushback instance={instance} start={start} rest_ms={} leaving={}",
            said.rest.map_or_else(|| "none".to_owned(), |rest| rest.as_millis().to_string()),
            said.is_leaving
        );
        Some(ActionReport::Pushback(instance.to_owned(), start, said))
    }
}

/// Each call goes out once: an order may be carried out without an answer.
async fn send(address: &str, req: HttpRequest) -> Result<ClientAnswer> {
    Caller::new(address)?.call(req, MAX_ANSWER, LIMIT).await
}
