//! Carries out commands to endpoints, each in its own task.

use std::sync::Arc;
use std::time::Duration;

use citronway_core::ids::RequestId;
use citronway_core::node::events::{Grant, Ticket};
use citronway_core::node::{Event, OrderReply, ProbeReport};
use citronway_core::request::{Fence, Request};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::clock::wall_now;
use super::command::{EndpointCommand, Target};
use super::config::EndpointsConfig;
use super::control::{self, ControlError};
use super::gate::Until;
use super::order;
use super::pools::{EndpointPool, Pools};

/// Longest wait for a look whether an endpoint listens.
const LOOK_WAIT: Duration = Duration::from_millis(100);

/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);

/// Carries out commands until [`EndpointCommand::Stop`] or the ring closes.
pub(super) async fn run(
    cfg: EndpointsConfig,
    mut commands: Receiver<EndpointCommand>,
    events: Sender<Event>,
) {
    let mut duty = Duty {
        cfg: Arc::new(cfg),
        pools: Pools::default(),
        tasks: JoinSet::new(),
        events,
    };
    let mut sweep = interval(SWEEP);
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                None | Some(EndpointCommand::Stop) => break,
                Some(command) => duty.begin(command),
            },
            Some(_) = duty.tasks.join_next() => {}
            _ = sweep.tick() => duty.pools.sweep(duty.cfg.idle()),
        }
    }
    while duty.tasks.join_next().await.is_some() {}
}

struct Duty {
    cfg: Arc<EndpointsConfig>,
    pools: Pools,
    tasks: JoinSet<()>,
    events: Sender<Event>,
}

impl Duty {
    fn begin(&mut self, command: EndpointCommand) {
        match command {
            EndpointCommand::SendOrder {
                ticket,
                to,
                connections,
                fence,
                held_until,
                request,
            } => {
                let until = Until::held(request.deadline, held_until);
                let pool = self.pools.with_limit(&self.cfg, &to, connections);
                let cfg = Arc::clone(&self.cfg);
                let events = self.events.clone();
                self.tasks.spawn(async move {
                    let reply = send_order(&cfg, &pool, &to, (&fence, until), &request).await;
                    let is_lost = reply == OrderReply::Lost;
                    send_event(&events, Event::OrderDone { ticket, reply }).await;
                    if is_lost && listens(&to).await {
                        let endpoint = to.endpoint;
                        send_event(&events, Event::EndpointLives { endpoint }).await;
                    }
                });
            }
            EndpointCommand::Cancel { to, id } => {
                let pool = self.pools.of(&self.cfg, &to);
                let cfg = Arc::clone(&self.cfg);
                self.report(async move { cancel(&cfg, &pool, to, id).await });
            }
            EndpointCommand::Grant { ticket, to, grant } => {
                self.grant(ticket, to, control::GRANT, grant);
            }
            EndpointCommand::Revoke { ticket, to, grant } => {
                self.grant(ticket, to, control::REVOKE, grant);
            }
            EndpointCommand::Stop => {}
        }
    }

    fn grant(&mut self, ticket: Ticket, to: Target, path: &'static str, grant: Grant) {
        let pool = self.pools.of(&self.cfg, &to);
        let cfg = Arc::clone(&self.cfg);
        self.report(async move {
            let result = send_grant(&cfg, &pool, &to, path, &grant).await;
            let report = result.unwrap_or_else(|err| {
                log::warn!(endpoint = to.endpoint.as_str(), path, error:% = err; "grant failed");
                ProbeReport::Failed
            });
            Event::GrantDone {
                endpoint: to.endpoint,
                ticket,
                report,
            }
        });
    }

    fn report(&mut self, work: impl Future<Output = Event> + Send + 'static) {
        let events = self.events.clone();
        self.tasks.spawn(async move {
            let event = work.await;
            send_event(&events, event).await;
        });
    }
}

async fn send_event(events: &Sender<Event>, event: Event) {
    if events.send(event).await.is_err() {
        log::error!("no one takes events any more");
    }
}

/// Whether something listens at an endpoint whose connection has just broken.
///
/// Failure guarded against: connections are cut on the way, and the work that they carried
/// is taken for work that crashes endpoints.
async fn listens(to: &Target) -> bool {
    let connected = timeout(LOOK_WAIT, TcpStream::connect(to.address)).await;
    matches!(connected, Ok(Ok(_)))
}

async fn send_order(
    cfg: &EndpointsConfig,
    pool: &EndpointPool,
    to: &Target,
    (fence, until): (&Fence, Until),
    req: &Request,
) -> OrderReply {
    let order = match order::http_request(&to.address.to_string(), fence, req) {
        Ok(order) => order,
        Err(err) => {
            log::error!(id:% = req.id, error:% = err; "order cannot be written as HTTP");
            return OrderReply::NotSent;
        }
    };
    match pool.data.send(cfg, order, until).await {
        Ok(done) => {
            let reply = order::read_answer(req.id, done.answer);
            if reply != OrderReply::Foreign {
                pool.data.keep(done.link);
            }
            reply
        }
        Err(err) => {
            log::warn!(endpoint = to.endpoint.as_str(), id:% = req.id, error:% = err; "no answer");
            order::read_error(&err)
        }
    }
}

async fn send_grant(
    cfg: &EndpointsConfig,
    pool: &EndpointPool,
    to: &Target,
    path: &str,
    grant: &Grant,
) -> Result<ProbeReport, ControlError> {
    let req = control::grant_request(&to.address.to_string(), path, grant)?;
    let until = wall_now().plus(cfg.probe_timeout_ms);
    let done = pool.control.send_waiting(cfg, req, until).await?;
    let report = control::read_grant(&done.answer)?;
    pool.control.keep(done.link);
    Ok(report)
}

async fn cancel(cfg: &EndpointsConfig, pool: &EndpointPool, to: Target, id: RequestId) -> Event {
    let confirmed = send_cancel(cfg, pool, &to, id).await.unwrap_or_else(|err| {
        log::warn!(endpoint = to.endpoint.as_str(), id:% = id, error:% = err; "cancel failed");
        false
    });
    Event::CancelDone {
        endpoint: to.endpoint,
        id,
        confirmed,
    }
}

async fn send_cancel(
    cfg: &EndpointsConfig,
    pool: &EndpointPool,
    to: &Target,
    id: RequestId,
) -> Result<bool, ControlError> {
    let req = control::cancel_request(&to.address.to_string(), id)?;
    let until = wall_now().plus(cfg.probe_timeout_ms);
    let done = pool.control.send_waiting(cfg, req, until).await?;
    let confirmed = control::read_cancel(&done.answer)?;
    pool.control.keep(done.link);
    Ok(confirmed)
}
