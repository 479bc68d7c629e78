//! Sends a plan's requests at their times and gathers what became of each.
//!
//! Open loop: every request has its own task, started at its planned time
//! whatever became of the earlier ones. Latency counts from the planned time.
//! The work is dealt over a few threads, each with an event loop and
//! connections of its own; the tool's own delay is kept in each sample, so
//! that a run that the tool could not keep up with is seen.

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

/// How much longer than the deadline the tool listens for an answer.
const GRACE: Duration = Duration::from_secs(3);
/// The wait before a resend where the answer names none.
const RESEND_PAUSE: Duration = Duration::from_millis(100);

/// Where requests go.
#[derive(Debug, Clone)]
pub enum Route {
    /// To entry instances.
    Entries(Arc<Balancer>),
    /// Past them, straight to the endpoints.
    Direct(Arc<direct::Chains>),
}

/// How a plan is run.
#[derive(Debug, Clone)]
pub struct Driver {
    /// Where requests go.
    pub route: Route,
    /// Compares each answer.
    pub verifier: Verifier,
    /// How often a caller sends again after "not run" or a cut.
    pub resends: u32,
    /// Threads that send.
    pub threads: usize,
}

impl Driver {
    /// Sends all arrivals, counted from `start`; gives a sample of each, by planned time.
    pub fn run(&self, arrivals: &[Arrival], start: Instant) -> Vec<Sample> {
        let threads = self.threads.max(1);
        let handles: Vec<_> = (0..threads)
            .map(|index| {
                let share: Vec<Arrival> =
                    arrivals.iter().skip(index).step_by(threads).cloned().collect();
                let driver = self.clone();
                thread::spawn(move || runtime::block_on(driver.work(share, start)))
            })
            .collect();
        let mut samples: Vec<Sample> = handles
            .into_iter()
            .flat_map(|handle| handle.join().expect("a sending thread does not panic"))
            .collect();
        samples.sort_by_key(|sample| sample.planned);
        samples
    }

    async fn work(self, arrivals: Vec<Arrival>, start: Instant) -> Vec<Sample> {
        let client = runtime::client().await;
        let probe = self.start_probe(&client);
        let samples = Rc::new(RefCell::new(Vec::with_capacity(arrivals.len())));
        let mut tasks = Vec::with_capacity(arrivals.len());
        let driver = Rc::new(self);
        for arrival in arrivals {
            tokio::time::sleep_until((start + arrival.at).into()).await;
            let (driver, client, samples) = (driver.clone(), client.clone(), samples.clone());
            tasks.push(rt::spawn(async move {
                let sample = driver.one(&client, &arrival, start).await;
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

    /// Sends one request, again where its caller would, and notes its end.
    async fn one(&self, client: &Client, arrival: &Arrival, start: Instant) -> Sample {
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
            sample.ending = self.compared(arrival, &reply);
            sample.stages = reply.stages;
            let Some(pause) = self.resend_after(&sample, reply.retry_after) else {
                return sample;
            };
            sample.doubted |= !matches!(sample.ending, Ending::NotRun(_) | Ending::Unreachable);
            ntex::time::sleep(pause).await;
        }
    }

    async fn send(&self, client: &Client, arrival: &Arrival, waited: Duration) -> caller::Reply {
        let left = arrival.deadline.saturating_sub(waited);
        let patience = left + GRACE;
        match &self.route {
            Route::Direct(chains) => chains.send(client, arrival, left, patience).await,
            Route::Entries(balancer) => {
                let mut reply = caller::Reply::bare(Ending::Unreachable);
                for entry in balancer.order() {
                    reply = caller::send(client, &entry, arrival, left, patience).await;
                    if reply.ending != Ending::Unreachable {
                        return reply;
                    }
                    balancer.mark_down(&entry);
                }
                reply
            }
        }
    }

    fn compared(&self, arrival: &Arrival, reply: &caller::Reply) -> Ending {
        let Some(output) = &reply.output else { return reply.ending.clone() };
        match self.verifier.compare(arrival, output) {
            Ok(()) => reply.ending.clone(),
            Err(difference) => Ending::Wrong(difference.into()),
        }
    }

    /// The pause before the caller sends again; `None` where it does not.
    fn resend_after(&self, sample: &Sample, wait: Option<Duration>) -> Option<Duration> {
        if sample.sends > self.resends {
            return None;
        }
        let wait = match &sample.ending {
            Ending::NotRun(_) | Ending::Unreachable => wait.unwrap_or(RESEND_PAUSE),
            Ending::MayHaveRun(_) => wait?,
            Ending::Cut if sample.idempotent => RESEND_PAUSE,
            _ => return None,
        };
        (sample.took + wait < sample.deadline).then_some(wait)
    }
}
