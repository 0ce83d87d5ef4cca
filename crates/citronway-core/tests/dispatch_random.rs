//! Property tests: random interleavings of the events of a dispatcher.

mod dispatch_support;

use citronway_core::dispatch::{
    DispatchAction, DispatchEvent, DispatchSettings, RequestFault, ShardRef,
};
use citronway_core::ids::RequestId;
use citronway_core::node::events::{OrderReply, ProbeReport, RefusedReason, Ticket};
use citronway_core::outcome::{Answer, Outcome};
use citronway_core::request::{Repeat, Request};
use dispatch_support::{
    DRAINING, HEALTHY, Harness, answer, booking, builder, id, lookup, shard, shard_ref, wall,
};
use indexmap::{IndexMap, IndexSet};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

const SLOTS: u32 = 2;
const ENDPOINT_SKEW_MS: u64 = 100;
const BOOKING_EVERY_MS: u64 = 300;
const SEED: u64 = 20_261_202;

/// A random step. `pick` is an index into the open orders, cancellations or
/// messages; a step with an index out of range does nothing.
#[derive(Debug, Clone, Copy)]
enum Step {
    Book { n: u8, altered: bool, wait_ms: u64 },
    Look { n: u8, batch: bool, wait_ms: u64 },
    Order { pick: usize, reply: u8 },
    CancelAnswer { pick: usize, confirmed: bool },
    CallerGone { origin: u64 },
    Control { pick: usize, report: u8 },
    Pass { ms: u64 },
    Hold { may_act: bool },
    Move { moving: bool },
    NextEpoch,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..12_u8, prop::bool::weighted(0.1), 20..3_000_u64)
            .prop_map(|(n, altered, wait_ms)| Step::Book { n, altered, wait_ms }),
        4 => (20..32_u8, any::<bool>(), 20..3_000_u64)
            .prop_map(|(n, batch, wait_ms)| Step::Look { n, batch, wait_ms }),
        8 => (0..8_usize, 0..8_u8).prop_map(|(pick, reply)| Step::Order { pick, reply }),
        2 => (0..8_usize, any::<bool>())
            .prop_map(|(pick, confirmed)| Step::CancelAnswer { pick, confirmed }),
        1 => (0..100_u64).prop_map(|origin| Step::CallerGone { origin }),
        8 => (0..3_usize, 0..10_u8).prop_map(|(pick, report)| Step::Control { pick, report }),
        8 => (1..400_u64).prop_map(|ms| Step::Pass { ms }),
        1 => any::<bool>().prop_map(|may_act| Step::Hold { may_act }),
        1 => any::<bool>().prop_map(|moving| Step::Move { moving }),
        1 => Just(Step::NextEpoch),
    ]
}

/// An order that the endpoint may be running.
#[derive(Debug)]
struct Running {
    id: RequestId,
    due: u64,
}

#[derive(Debug)]
struct Control {
    ticket: Ticket,
    /// End of the grant, in milliseconds of wall time; `None` without shards.
    end: Option<u64>,
    revokes: bool,
}

#[derive(Debug, Default)]
struct Model {
    submitted: IndexMap<Ticket, Request>,
    replied: IndexSet<Ticket>,
    open: IndexMap<Ticket, Request>,
    /// Orders that the endpoint may be running.
    running: IndexMap<Ticket, Running>,
    /// Ids that were sent and not proven to be not run.
    sent_ids: IndexSet<RequestId>,
    /// Unanswered grants and revocations.
    control: Vec<Control>,
    /// Ends of grants that were reported as failed; they may still arrive.
    unanswered_ends: Vec<u64>,
    /// Until when the endpoint holds the shard, by the messages it received.
    held_until: u64,
    cancels: Vec<RequestId>,
    epoch: u64,
    /// Latest end granted under the present epoch.
    end: u64,
    released: IndexSet<u64>,
}

struct Simulation {
    harness: Harness,
    model: Model,
    checks: bool,
}

impl Simulation {
    fn new(checks: bool) -> Self {
        let cfg = DispatchSettings::builder()
            .queue_max(6)
            .max_order_ms(2_000)
            .max_ids(3)
            .id_window_min_ms(500)
            .build();
        let harness = Harness::ungranted(builder(SLOTS, checks).settings(cfg));
        let model = Model {
            epoch: 1,
            ..Model::default()
        };
        let mut simulation = Self {
            harness,
            model,
            checks,
        };
        simulation.set_shard(false);
        simulation
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Book {
                n,
                altered,
                wait_ms,
            } => {
                let mut req = booking(n, u64::from(n) * BOOKING_EVERY_MS);
                if altered {
                    "/other".clone_into(&mut req.path);
                }
                req.deadline = wall(self.harness.ms + wait_ms);
                self.submit(req);
            }
            Step::Look { n, batch, wait_ms } => {
                let class = if batch { "batch" } else { "interactive" };
                self.submit(lookup(n, class, self.harness.ms + wait_ms));
            }
            Step::Order { pick, reply } => self.order_done(pick, reply),
            Step::CancelAnswer { pick, confirmed } => self.cancel_done(pick, confirmed),
            Step::CallerGone { origin } => self.apply(DispatchEvent::Cancel { origin }),
            Step::Control { pick, report } => self.control_done(pick, report),
            Step::Pass { ms } => self.pass(ms),
            Step::Hold { may_act } => self.harness.may_act = may_act,
            Step::Move { moving } => self.set_shard(moving),
            Step::NextEpoch => {
                if self.model.released.contains(&self.model.epoch) {
                    self.model.epoch += 1;
                    self.model.end = 0;
                    self.set_shard(false);
                }
            }
        }
    }

    fn submit(&mut self, request: Request) {
        let origin = self.model.submitted.len() as Ticket;
        self.model.submitted.insert(origin, request.clone());
        let shard = shard_ref(1).shard;
        self.apply(DispatchEvent::Submit {
            origin,
            shard,
            request,
        });
    }

    fn order_done(&mut self, pick: usize, reply: u8) {
        let Some((&ticket, _)) = self.model.open.get_index(pick) else {
            return;
        };
        let req = self.model.open.shift_remove(&ticket).expect("it was there");
        let reply = match reply {
            0..=3 => OrderReply::Answered {
                answer: expected_answer(&req),
            },
            4 => OrderReply::Refused {
                reason: RefusedReason::Shed,
            },
            5 => OrderReply::NotSent,
            6 => OrderReply::Lost,
            _ => OrderReply::Timeout,
        };
        match reply {
            OrderReply::Answered { .. } => {
                self.model.running.swap_remove(&ticket);
            }
            OrderReply::Refused { .. } | OrderReply::NotSent => {
                self.model.running.swap_remove(&ticket);
                // The proof counts only if it comes before the caller's deadline.
                if req.deadline > wall(self.harness.ms) {
                    self.model.sent_ids.swap_remove(&req.id);
                }
            }
            OrderReply::Lost | OrderReply::Foreign | OrderReply::Timeout => {}
        }
        self.apply(DispatchEvent::OrderDone { ticket, reply });
    }

    fn cancel_done(&mut self, pick: usize, confirmed: bool) {
        if pick >= self.model.cancels.len() {
            return;
        }
        let id = self.model.cancels.remove(pick);
        if confirmed {
            let of_id = self.model.running.values().position(|order| order.id == id);
            if let Some(index) = of_id {
                self.model.running.shift_remove_index(index);
            }
        }
        self.apply(DispatchEvent::CancelDone { id, confirmed });
    }

    fn control_done(&mut self, pick: usize, report: u8) {
        if pick >= self.model.control.len() {
            return;
        }
        let report = match report {
            0..=6 => HEALTHY,
            7 => DRAINING,
            _ => ProbeReport::Failed,
        };
        let message = self.model.control.remove(pick);
        let ticket = message.ticket;
        match (message.end, &report) {
            (Some(end), ProbeReport::Failed) => self.model.unanswered_ends.push(end),
            (Some(end), _) => self.model.held_until = self.model.held_until.max(end),
            (None, ProbeReport::Failed) => {}
            (None, _) if message.revokes => self.model.held_until = 0,
            (None, _) => {}
        }
        self.apply(DispatchEvent::GrantDone { ticket, report });
    }

    fn pass(&mut self, ms: u64) {
        self.harness.ms += ms;
        let now = self.harness.ms;
        let running = &mut self.model.running;
        running.retain(|_, order| order.due + ENDPOINT_SKEW_MS > now);
        self.apply(DispatchEvent::Tick);
    }

    fn set_shard(&mut self, moving: bool) {
        let shards = vec![shard(1, self.model.epoch, moving)];
        self.apply(DispatchEvent::SetShards { shards });
    }

    fn apply(&mut self, event: DispatchEvent) {
        for action in self.harness.apply(event) {
            self.check(&action);
        }
    }

    fn check(&mut self, action: &DispatchAction) {
        match action {
            DispatchAction::Reply { origin, outcome } => self.check_reply(*origin, outcome),
            DispatchAction::Reject { origin, fault } => {
                assert_ne!(*fault, RequestFault::IdWithoutTime);
                assert!(self.model.replied.insert(*origin), "second reply: {origin}");
            }
            DispatchAction::SendOrder {
                ticket, request, ..
            } => self.check_order(*ticket, request),
            DispatchAction::Cancel { id } => self.model.cancels.push(*id),
            DispatchAction::Grant { ticket, grant } => {
                self.check_held();
                let end = (!grant.shards.is_empty()).then_some(grant.end.0);
                self.sent_control(*ticket, end, false);
                if let Some(end) = end {
                    let epoch = self.model.epoch;
                    assert!(
                        !self.model.released.contains(&epoch),
                        "granted again after its release"
                    );
                    self.model.end = end;
                }
            }
            DispatchAction::Revoke { ticket, .. } => {
                self.check_held();
                self.sent_control(*ticket, None, true);
                assert!(
                    self.model.running.is_empty(),
                    "revoked while orders are running"
                );
            }
            DispatchAction::ShardReleased { at, epoch, .. } => self.check_released(at, epoch.0),
            DispatchAction::EndpointLost { quiet } => {
                if *quiet && self.checks {
                    self.check_nothing_held();
                    self.model.released.insert(self.model.epoch);
                }
            }
            DispatchAction::EndpointBack | DispatchAction::Superseded => {}
        }
    }

    fn check_reply(&mut self, origin: Ticket, outcome: &Outcome) {
        assert!(self.model.replied.insert(origin), "second reply: {origin}");
        let req = &self.model.submitted[&origin];
        match outcome {
            Outcome::Answered(got) => {
                assert_eq!(*got, expected_answer(req), "answer to another request");
            }
            Outcome::NotRun(_) if req.repeat == Repeat::NonIdempotent => {
                assert!(
                    !self.model.sent_ids.contains(&req.id),
                    "answered `not run` after it was sent: {req:?}"
                );
            }
            Outcome::NotRun(_) | Outcome::MayHaveRun(_) => {}
        }
    }

    fn check_order(&mut self, ticket: Ticket, req: &Request) {
        self.check_held();
        assert!(
            self.model.end > wall(self.harness.ms).0,
            "sent without a grant"
        );
        assert!(!self.model.released.contains(&self.model.epoch));
        if req.repeat == Repeat::NonIdempotent {
            let created = req.id.created().expect("version 7");
            assert!(created <= wall(self.harness.ms), "sent before its creation");
            assert!(self.model.sent_ids.insert(req.id), "sent twice: {}", req.id);
        }
        let due = req.deadline.0 - wall(0).0;
        let id = req.id;
        self.model.running.insert(ticket, Running { id, due });
        self.model.open.insert(ticket, req.clone());
        let running = u32::try_from(self.model.running.len()).expect("few");
        assert!(running <= SLOTS, "{running} orders on {SLOTS} slots");
    }

    fn check_held(&self) {
        assert!(self.harness.may_act, "sent while the role is not held");
    }

    fn check_released(&mut self, at: &ShardRef, epoch: u64) {
        assert_eq!(*at, shard_ref(1));
        // Once an endpoint that checks orders was reported as quiet, its shards
        // are free even if orders still run: none can be committed any more.
        if self.checks && self.model.released.contains(&epoch) {
            return self.check_nothing_held();
        }
        assert!(
            self.model.running.is_empty(),
            "released while orders are running"
        );
        if self.checks && self.model.released.insert(epoch) {
            self.check_nothing_held();
        }
        self.model.released.insert(epoch);
    }

    fn sent_control(&mut self, ticket: Ticket, end: Option<u64>, revokes: bool) {
        let control = Control {
            ticket,
            end,
            revokes,
        };
        self.model.control.push(control);
    }

    /// Checks that the endpoint does not hold the shard and that no grant still
    /// under way can give it the shard.
    fn check_nothing_held(&self) {
        let now = wall(self.harness.ms).0;
        let under_way = self.model.control.iter().filter_map(|sent| sent.end);
        let unanswered_ends = self.model.unanswered_ends.iter().copied();
        for end in under_way
            .chain(unanswered_ends)
            .chain([self.model.held_until])
        {
            assert!(end + ENDPOINT_SKEW_MS <= now, "held until {end}, now {now}");
        }
    }

    /// Lets all deadlines pass and checks that every request has its reply.
    fn finish(&mut self) {
        self.pass(4_000);
        assert_eq!(self.model.replied.len(), self.model.submitted.len());
    }
}

/// The answer that identifies a request.
fn expected_answer(req: &Request) -> Answer {
    answer(&format!("{} {}", req.id, req.path))
}

fn explore(checks: bool) {
    let config = Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = proptest::collection::vec(step(), 1..150);
    let result = TestRunner::new(config).run(&steps, |steps| {
        let mut simulation = Simulation::new(checks);
        for step in steps {
            simulation.run(step);
        }
        simulation.finish();
        Ok(())
    });
    result.unwrap();
}

#[test]
fn interleavings_at_an_endpoint_that_checks() {
    explore(true);
}

#[test]
fn interleavings_at_an_endpoint_that_does_not_check() {
    explore(false);
}

#[test]
fn batch_progresses_whatever_the_load() {
    let config = Config {
        cases: 100,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let times = proptest::collection::vec(1..200_u64, 200);
    let result = TestRunner::new(config).run(&times, |times| {
        let mut harness = Harness::checking(1);
        harness.submit(1_001, lookup(201, "interactive", 90_000));
        harness.submit(1_002, lookup(202, "interactive", 90_000));
        harness.submit(1_000, lookup(0, "batch", 90_000));
        for (n, took) in (1..=200_u8).zip(times) {
            harness.submit(u64::from(n), lookup(n, "interactive", 90_000));
            harness.advance(harness.ms + took);
            let order = harness.last_order();
            harness.answered(order, "done");
        }
        assert!(
            harness
                .orders()
                .iter()
                .take(4)
                .any(|order| order.id == id(0, 0))
        );
        Ok(())
    });
    result.unwrap();
}
