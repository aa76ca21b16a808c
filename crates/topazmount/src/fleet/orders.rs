//! Sends the leader's orders and questions to replicas, and tells how they ended.

use super::caller::Caller;
use super::dialect::{Dialect, HttpCall};
use crate::Executor;
use crate::control_process::LocalMember;
use crate::http1::ClientAnswer;
use async_channel::Receiver;
use eyre::Result;
use std::sync::Arc;
use std::time::Duration;
use topazmount_control::{FleetAction, FleetRequest, OrderEnd, OrderReport, Request};

/// Longest wait for the answer to an order or a question.
const LIMIT: Duration = Duration::from_millis(500);
/// Largest answer.
const MAX_ANSWER: usize = 256 * 1024;

/// Sends actions until the member stops.
pub async fn run(
    executor: Executor,
    actions: Receiver<FleetAction>,
    member: LocalMember,
    dialect: Arc<dyn Dialect>,
    holder: String,
) {
    while let Ok(action) = actions.recv().await {
        let (member, dialect, holder) = (member.clone(), dialect.clone(), holder.clone());
        let sending = async move {
            let report = act(&*dialect, action, &holder).await;
            let request = Request::Fleet(FleetRequest::OrderEnded(report));
            let _ = member.ask(request, LIMIT).await;
        };
        executor.spawn(sending).detach();
    }
}

async fn act(dialect: &dyn Dialect, action: FleetAction, holder: &str) -> OrderReport {
    match action {
        FleetAction::Order(order) => {
            let answer = send(&order.address, dialect.order(&order, holder)).await;
            let end = match &answer {
                Ok(answer) => dialect.order_end(answer.head.status),
                Err(_) => OrderEnd::Unknown,
            };
            log::info!(
                "weights: event=order instance={} start={} model={} version={} fence={} sequence={} end={end:?}",
                order.instance,
                order.start,
                order.model,
                order.version,
                order.fence,
                order.expected_sequence
            );
            OrderReport::Order(order.instance, order.start, end)
        }
        FleetAction::Question { instance, address } => {
            let answer = send(&address, dialect.report_call()).await;
            let is_good = |answer: &ClientAnswer| answer.head.status == 200;
            let report = answer.ok().filter(is_good).and_then(|one| dialect.report(&one.body));
            OrderReport::Question(instance, report)
        }
    }
}

/// Each call goes out once: an order may be carried out without an answer.
async fn send(address: &str, req: HttpCall) -> Result<ClientAnswer> {
    Caller::new(address)?.call(req, MAX_ANSWER, LIMIT).await
}
