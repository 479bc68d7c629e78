//! The stages of one exchange: what has been made, what can be made next.

use crate::{
    model::DataCentre,
    relay::{config::Route, model::Handle},
};

/// A result and where it lies.
#[derive(Debug, Clone)]
struct Result {
    handle: Handle,
    place: Option<DataCentre>,
}

/// One stage's pieces.
#[derive(Debug, Clone)]
struct Progress {
    results: Vec<Option<Result>>,
    is_started: bool,
    is_freed: bool,
}

impl Progress {
    fn is_complete(&self) -> bool {
        self.results.iter().all(Option::is_some)
    }

    fn handles(&self) -> impl Iterator<Item = &Handle> {
        self.results.iter().flatten().map(|result| &result.handle)
    }
}

/// How far an exchange's stages have got.
#[derive(Debug, Clone, Default)]
pub struct StageGraph {
    stages: Vec<Progress>,
}

/// Where a result was made.
#[derive(Debug, Clone)]
pub struct LocatedResult {
    /// The result.
    pub handle: Handle,
    /// The endpoint's data centre, if it is known.
    pub data_centre: Option<DataCentre>,
}

impl StageGraph {
    /// Stages that have made nothing. `pieces` says how many each has; a stage
    /// with none is left out.
    pub fn new(route: &Route, pieces: &[u16]) -> StageGraph {
        let count = |idx: usize| usize::from(pieces.get(idx).copied().unwrap_or(0));
        let progress = |idx| Progress {
            results: vec![None; count(idx)],
            is_started: count(idx) == 0,
            is_freed: false,
        };
        StageGraph { stages: (0..route.stages.len()).map(progress).collect() }
    }

    /// Whether all pieces of all stages have been made.
    pub fn is_complete(&self) -> bool {
        self.stages.iter().all(Progress::is_complete)
    }

    /// Starts the stages whose inputs have all been made. Results of at least
    /// `large` bytes that only the call itself takes in are made late, from the
    /// last stage but one of the others on: they would only take up room while
    /// the first ones are worked on.
    pub fn start_ready(&mut self, route: &Route, large: u64) -> Vec<usize> {
        let is_ready = |graph: &StageGraph, idx: usize| {
            let after = &route.stages[idx].after;
            let has_inputs = after.iter().all(|stage| graph.stages[*stage].is_complete());
            let is_last = graph.followers(route, idx).next().is_none();
            let may_wait = is_last && route.stages[idx].bytes >= large;
            has_inputs && (!may_wait || graph.has_started_chain(route, idx))
        };
        let waiting = (0..self.stages.len()).filter(|idx| !self.stages[*idx].is_started);
        let ready: Vec<_> = waiting.filter(|idx| is_ready(self, *idx)).collect();
        for idx in &ready {
            self.stages[*idx].is_started = true;
        }
        ready
    }

    /// Whether all stages that others follow have been started, but for one.
    fn has_started_chain(&self, route: &Route, but: usize) -> bool {
        let inner = (0..self.stages.len())
            .filter(|idx| *idx != but && self.followers(route, *idx).next().is_some());
        inner.into_iter().all(|idx| self.stages[idx].is_started)
    }

    /// Whether a stage is made from what another one makes.
    pub fn has_dependent_stages(&self, route: &Route) -> bool {
        (0..self.stages.len()).any(|idx| self.followers(route, idx).next().is_some())
    }

    /// The stages that have not been started.
    pub fn unstarted(&self) -> impl Iterator<Item = usize> {
        let waiting = self.stages.iter().enumerate().filter(|(_, stage)| !stage.is_started);
        waiting.map(|(idx, _)| idx)
    }

    /// The first stage that has not been made yet.
    pub fn first_incomplete(&self) -> Option<usize> {
        self.stages.iter().position(|stage| !stage.is_complete())
    }

    /// Pieces that have been made, and pieces in all.
    pub fn progress(&self) -> (usize, usize) {
        let made = self.stages.iter().flat_map(|stage| &stage.results).flatten().count();
        (made, self.stages.iter().map(|stage| stage.results.len()).sum())
    }

    /// How many pieces a stage has.
    pub fn piece_count(&self, stage: usize) -> usize {
        self.stages[stage].results.len()
    }

    /// The results that a stage's pieces are made from.
    pub fn inputs(&self, route: &Route, stage: usize) -> Vec<Handle> {
        let after = route.stages[stage].after.iter();
        after.flat_map(|idx| self.stages[*idx].handles()).cloned().collect()
    }

    /// Whether the results that a stage's pieces are made from are needed by no other
    /// stage.
    pub fn is_last_reader(&self, route: &Route, stage: usize) -> bool {
        let mut after = route.stages[stage].after.iter();
        after.all(|idx| self.followers(route, *idx).all(|follower| follower == stage))
    }

    /// The results that the call takes in: those of the stages that no other
    /// stage follows.
    pub fn outputs(&self, route: &Route) -> Vec<Handle> {
        let last = self.last_stages(route);
        last.flat_map(|idx| self.stages[idx].handles()).cloned().collect()
    }

    /// Bytes of the outputs by data centre.
    pub fn outputs_by_data_centre(&self, route: &Route) -> Vec<(DataCentre, u64)> {
        self.places(route, self.last_stages(route))
    }

    /// Bytes that a stage's pieces take in, all together, by data centre.
    pub fn inputs_by_data_centre(&self, route: &Route, stage: usize) -> Vec<(DataCentre, u64)> {
        let pieces = self.piece_count(stage) as u64;
        let places = self.places(route, route.stages[stage].after.iter().copied());
        places.into_iter().map(|(place, bytes)| (place, bytes * pieces)).collect()
    }

    fn places(&self, route: &Route, stages: impl Iterator<Item = usize>) -> Vec<(DataCentre, u64)> {
        let mut places: Vec<(DataCentre, u64)> = Vec::new();
        for idx in stages {
            for place in self.stages[idx].results.iter().flatten().filter_map(|r| r.place.as_ref())
            {
                let bytes = route.stages[idx].bytes;
                match places.iter_mut().find(|(known, _)| known == place) {
                    Some((_, sum)) => *sum += bytes,
                    None => places.push((place.clone(), bytes)),
                }
            }
        }
        places
    }

    /// Takes in a result. One that is there already is kept.
    pub fn record_result(&mut self, stage: usize, number: usize, made: LocatedResult) {
        let Some(progress) = self.stages.get_mut(stage) else { return };
        let Some(slot) = progress.results.get_mut(number) else { return };
        if slot.is_none() {
            *slot = Some(Result { handle: made.handle, place: made.data_centre });
        }
    }

    /// Results that nothing needs any more, with their stages: those whose
    /// followers have all been made. They are returned once.
    pub fn take_unneeded(&mut self, route: &Route) -> Vec<(usize, Handle)> {
        let mut used = Vec::new();
        for idx in 0..self.stages.len() {
            let followers: Vec<_> = self.followers(route, idx).collect();
            let is_made = |next: &usize| self.stages[*next].is_complete();
            let is_used = !followers.is_empty() && followers.iter().all(is_made);
            if is_used && !self.stages[idx].is_freed {
                self.stages[idx].is_freed = true;
                used.extend(self.stages[idx].handles().map(|handle| (idx, handle.clone())));
            }
        }
        used
    }

    /// All results that were not returned by [`StageGraph::take_unneeded`].
    pub fn take_unfreed(&mut self) -> Vec<(usize, Handle)> {
        let kept = self.stages.iter_mut().enumerate().filter(|(_, stage)| !stage.is_freed);
        let mut all = Vec::new();
        for (idx, stage) in kept {
            stage.is_freed = true;
            all.extend(stage.handles().map(|handle| (idx, handle.clone())));
        }
        all
    }

    /// Results of at least so many bytes that have not been given up.
    pub fn unfreed(&self, route: &Route, bytes: u64) -> Vec<(usize, Handle)> {
        let stages = self.stages.iter().enumerate();
        let held =
            stages.filter(|(idx, stage)| !stage.is_freed && route.stages[*idx].bytes >= bytes);
        held.flat_map(|(idx, stage)| stage.handles().map(move |it| (idx, it.clone()))).collect()
    }

    fn last_stages<'a>(&'a self, route: &'a Route) -> impl Iterator<Item = usize> + 'a {
        (0..self.stages.len()).filter(|idx| self.followers(route, *idx).next().is_none())
    }

    /// Stages that follow one and are not left out.
    fn followers<'a>(&'a self, route: &'a Route, idx: usize) -> impl Iterator<Item = usize> + 'a {
        let follows = move |next: &usize| {
            route.stages[*next].after.contains(&idx) && !self.stages[*next].results.is_empty()
        };
        (0..self.stages.len()).filter(follows)
    }
}
