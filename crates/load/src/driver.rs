//! Sends a plan's requests at their times and collects a sample of each.
//!
//! Open loop: every request has its own task, started at its planned time
//! regardless of earlier requests. Latency counts from the planned time. The
//! requests are divided among a few threads, each with its own event loop and
//! connections. Each sample includes the tool's own delay, which shows when the
//! tool could not keep up with the plan.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use ntex::{client::Client, rt};

use crate::{
    arrivals::Arrival,
    balancer::Balancer,
    caller, direct, runtime,
    sample::{Ending, Sample},
    verify::Verifier,
};

/// How long after the deadline the tool still waits for an answer.
const ANSWER_GRACE: Duration = Duration::from_secs(3);
/// Delay before a resend if the reply states none.
const DEFAULT_RESEND_DELAY: Duration = Duration::from_millis(100);

/// The path of requests to the endpoints.
#[derive(Debug, Clone)]
pub enum Route {
    /// Through entry instances.
    Entries(Arc<Balancer>),
    /// Directly to the endpoints.
    Direct(Arc<direct::DirectClient>),
}

/// Sends the requests of a plan.
#[derive(Debug, Clone)]
pub struct Driver {
    /// The path of requests to the endpoints.
    pub route: Route,
    /// Verifies each answer.
    pub verifier: Verifier,
    /// Most resends of a request, after a refusal or a lost connection.
    pub resends: u32,
    /// Number of sending threads.
    pub threads: usize,
}

impl Driver {
    /// Sends all arrivals at their times after `start` and returns the samples by planned time.
    pub fn run(&self, arrivals: &[Arrival], start: Instant) -> Vec<Sample> {
        let threads = self.threads.max(1);
        let handles: Vec<_> = (0..threads)
            .map(|index| {
                let share: Vec<Arrival> =
                    arrivals.iter().skip(index).step_by(threads).cloned().collect();
                let driver = self.clone();
                thread::spawn(move || runtime::block_on(driver.send_share(share, start)))
            })
            .collect();
        let mut samples: Vec<Sample> = handles
            .into_iter()
            .flat_map(|handle| handle.join().expect("a sending thread does not panic"))
            .collect();
        samples.sort_by_key(|sample| sample.planned);
        samples
    }

    async fn send_share(self, arrivals: Vec<Arrival>, start: Instant) -> Vec<Sample> {
        let client = runtime::client().await;
        let probe = self.start_probe(&client);
        let samples = Rc::new(RefCell::new(Vec::with_capacity(arrivals.len())));
        let mut tasks = Vec::with_capacity(arrivals.len());
        let driver = Rc::new(self);
        for arrival in arrivals {
            tokio::time::sleep_until((start + arrival.at).into()).await;
            let (driver, client, samples) = (driver.clone(), client.clone(), samples.clone());
            tasks.push(rt::spawn(async move {
                let sample = driver.send_one(&client, &arrival, start).await;
                samples.borrow_mut().push(sample);
            }));
        }
        for task in tasks {
            task.await.ok();
        }
        if let Some(probe) = probe {
            probe.cancel();
        }
        samples.take()
    }

    fn start_probe(&self, client: &Client) -> Option<rt::JoinHandle<()>> {
        let Route::Entries(balancer) = &self.route else { return None };
        let (balancer, client) = (balancer.clone(), client.clone());
        Some(rt::spawn(async move { balancer.probe(&client).await }))
    }

    /// Sends one request, including resends, and records its outcome.
    async fn send_one(&self, client: &Client, arrival: &Arrival, start: Instant) -> Sample {
        let planned = start + arrival.at;
        let lag = planned.elapsed();
        let mut sample = Sample {
            id: arrival.id.clone(),
            team: arrival.team.clone(),
            pipeline: arrival.pipeline.clone(),
            idempotent: arrival.idempotent,
            planned: arrival.at,
            lag,
            deadline: arrival.deadline,
            took: Duration::ZERO,
            first_token: None,
            sends: 0,
            doubted: false,
            ending: Ending::Silent,
            stages: Vec::new(),
        };
        loop {
            let before = planned.elapsed();
            let reply = self.send(client, arrival, before).await;
            sample.sends += 1;
            sample.took = planned.elapsed();
            sample.first_token = reply.first_token.map(|first| before + first);
            sample.ending = self.verified_ending(arrival, &reply);
            sample.stages = reply.stages;
            let Some(delay) = self.resend_after(&sample, reply.retry_after) else {
                return sample;
            };
            sample.doubted |= !matches!(sample.ending, Ending::NotRun(_) | Ending::Unreachable);
            ntex::time::sleep(delay).await;
        }
    }

    async fn send(&self, client: &Client, arrival: &Arrival, waited: Duration) -> caller::Reply {
        let time_left = arrival.deadline.saturating_sub(waited);
        let timeout = time_left + ANSWER_GRACE;
        match &self.route {
            Route::Direct(direct) => direct.send(client, arrival, time_left, timeout).await,
            Route::Entries(balancer) => {
                let mut reply = caller::Reply::ended(Ending::Unreachable);
                for entry in balancer.candidates() {
                    reply = caller::send(client, &entry, arrival, time_left, timeout).await;
                    if reply.ending != Ending::Unreachable {
                        return reply;
                    }
                    balancer.mark_down(&entry);
                }
                reply
            }
        }
    }

    fn verified_ending(&self, arrival: &Arrival, reply: &caller::Reply) -> Ending {
        let Some(output) = &reply.output else { return reply.ending.clone() };
        match self.verifier.compare(arrival, output) {
            Ok(()) => reply.ending.clone(),
            Err(difference) => Ending::Wrong(difference.into()),
        }
    }

    /// Delay before the request is sent again; `None` if it is not.
    fn resend_after(&self, sample: &Sample, wait: Option<Duration>) -> Option<Duration> {
        if sample.sends > self.resends {
            return None;
        }
        let wait = match &sample.ending {
            Ending::NotRun(_) | Ending::Unreachable => wait.unwrap_or(DEFAULT_RESEND_DELAY),
            Ending::MayHaveRun(_) => wait?,
            Ending::Cut if sample.idempotent => DEFAULT_RESEND_DELAY,
            _ => return None,
        };
        (sample.took + wait < sample.deadline).then_some(wait)
    }
}
