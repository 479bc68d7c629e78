//! The stages of one exchange: which results there are, and which stages can start.

use crate::{
    model::DataCentre,
    relay::{config::Route, model::Handle},
};

/// A result and the data centre that holds it.
#[derive(Debug, Clone)]
struct StoredResult {
    handle: Handle,
    data_centre: Option<DataCentre>,
}

/// State of one stage.
#[derive(Debug, Clone)]
struct StageState {
    results: Vec<Option<StoredResult>>,
    is_started: bool,
    is_freed: bool,
}

impl StageState {
    fn is_complete(&self) -> bool {
        self.results.iter().all(Option::is_some)
    }

    fn handles(&self) -> impl Iterator<Item = &Handle> {
        self.results.iter().flatten().map(|result| &result.handle)
    }
}

/// State of an exchange's stages.
#[derive(Debug, Clone, Default)]
pub struct StageGraph {
    stages: Vec<StageState>,
}

/// A new result and where it is.
#[derive(Debug, Clone)]
pub struct LocatedResult {
    /// The endpoint's name for the result.
    pub handle: Handle,
    /// The data centre of the endpoint; `None` if it is not known.
    pub data_centre: Option<DataCentre>,
}

impl StageGraph {
    /// Stages without results. `pieces` is the number of pieces of each; a stage without any is
    /// skipped.
    pub fn new(route: &Route, pieces: &[u16]) -> StageGraph {
        let count = |idx: usize| usize::from(pieces.get(idx).copied().unwrap_or(0));
        let state = |idx| StageState {
            results: vec![None; count(idx)],
            is_started: count(idx) == 0,
            is_freed: false,
        };
        StageGraph { stages: (0..route.stages.len()).map(state).collect() }
    }

    /// Whether all stages have all their results.
    pub fn is_complete(&self) -> bool {
        self.stages.iter().all(StageState::is_complete)
    }

    /// Starts the stages whose inputs are complete and returns them. Results of at least
    /// `large_bytes` that only the call itself reads are deferred until all inner stages, those
    /// that others depend on, have started: earlier they would only take up memory.
    pub fn start_ready(&mut self, route: &Route, large_bytes: u64) -> Vec<usize> {
        let is_ready = |graph: &StageGraph, idx: usize| {
            let after = &route.stages[idx].after;
            let has_inputs = after.iter().all(|stage| graph.stages[*stage].is_complete());
            let is_final = graph.successors(route, idx).next().is_none();
            let is_deferrable = is_final && route.stages[idx].bytes >= large_bytes;
            has_inputs && (!is_deferrable || graph.has_started_inner_stages(route, idx))
        };
        let waiting = (0..self.stages.len()).filter(|idx| !self.stages[*idx].is_started);
        let ready: Vec<_> = waiting.filter(|idx| is_ready(self, *idx)).collect();
        for idx in &ready {
            self.stages[*idx].is_started = true;
        }
        ready
    }

    /// Whether all stages that others depend on have started, apart from one.
    fn has_started_inner_stages(&self, route: &Route, except: usize) -> bool {
        let inner = (0..self.stages.len())
            .filter(|idx| *idx != except && self.successors(route, *idx).next().is_some());
        inner.into_iter().all(|idx| self.stages[idx].is_started)
    }

    /// Whether any stage depends on another one.
    pub fn has_dependent_stages(&self, route: &Route) -> bool {
        (0..self.stages.len()).any(|idx| self.successors(route, idx).next().is_some())
    }

    /// Whether any stage has been started.
    pub fn has_begun(&self) -> bool {
        self.stages.iter().any(|stage| stage.is_started && !stage.results.is_empty())
    }

    /// The stages that have not been started.
    pub fn unstarted(&self) -> impl Iterator<Item = usize> {
        let waiting = self.stages.iter().enumerate().filter(|(_, stage)| !stage.is_started);
        waiting.map(|(idx, _)| idx)
    }

    /// The first stage that lacks results; `None` if all are complete.
    pub fn first_incomplete(&self) -> Option<usize> {
        self.stages.iter().position(|stage| !stage.is_complete())
    }

    /// The number of results, and of pieces.
    pub fn progress(&self) -> (usize, usize) {
        let done = self.stages.iter().flat_map(|stage| &stage.results).flatten().count();
        (done, self.stages.iter().map(|stage| stage.results.len()).sum())
    }

    /// The number of pieces of a stage.
    pub fn piece_count(&self, stage: usize) -> usize {
        self.stages[stage].results.len()
    }

    /// The results that are inputs of a stage's pieces.
    pub fn inputs(&self, route: &Route, stage: usize) -> Vec<Handle> {
        let after = route.stages[stage].after.iter();
        after.flat_map(|idx| self.stages[*idx].handles()).cloned().collect()
    }

    /// Whether no other stage reads the inputs of this one.
    pub fn is_last_reader(&self, route: &Route, stage: usize) -> bool {
        let mut after = route.stages[stage].after.iter();
        after.all(|idx| self.successors(route, *idx).all(|successor| successor == stage))
    }

    /// The results that are inputs of the call: those of the stages that no other stage depends on.
    pub fn outputs(&self, route: &Route) -> Vec<Handle> {
        let last = self.final_stages(route);
        last.flat_map(|idx| self.stages[idx].handles()).cloned().collect()
    }

    /// Bytes of the outputs by data centre.
    pub fn outputs_by_data_centre(&self, route: &Route) -> Vec<(DataCentre, u64)> {
        self.bytes_by_data_centre(route, self.final_stages(route))
    }

    /// Bytes of the inputs of all pieces of a stage, by data centre.
    pub fn inputs_by_data_centre(&self, route: &Route, stage: usize) -> Vec<(DataCentre, u64)> {
        let pieces = self.piece_count(stage) as u64;
        let sums = self.bytes_by_data_centre(route, route.stages[stage].after.iter().copied());
        sums.into_iter().map(|(data_centre, bytes)| (data_centre, bytes * pieces)).collect()
    }

    fn bytes_by_data_centre(
        &self,
        route: &Route,
        stages: impl Iterator<Item = usize>,
    ) -> Vec<(DataCentre, u64)> {
        let mut sums: Vec<(DataCentre, u64)> = Vec::new();
        for idx in stages {
            for data_centre in
                self.stages[idx].results.iter().flatten().filter_map(|r| r.data_centre.as_ref())
            {
                let bytes = route.stages[idx].bytes;
                match sums.iter_mut().find(|(known, _)| known == data_centre) {
                    Some((_, sum)) => *sum += bytes,
                    None => sums.push((data_centre.clone(), bytes)),
                }
            }
        }
        sums
    }

    /// Records the result of a piece. An earlier one is kept.
    pub fn record_result(&mut self, stage: usize, number: usize, result: LocatedResult) {
        let Some(state) = self.stages.get_mut(stage) else { return };
        let Some(slot) = state.results.get_mut(number) else { return };
        if slot.is_none() {
            *slot = Some(StoredResult { handle: result.handle, data_centre: result.data_centre });
        }
    }

    /// Returns, once, the results that are no longer needed, with their stages: those of stages
    /// whose successors are all complete.
    pub fn take_unneeded(&mut self, route: &Route) -> Vec<(usize, Handle)> {
        let mut unneeded = Vec::new();
        for idx in 0..self.stages.len() {
            let successors: Vec<_> = self.successors(route, idx).collect();
            let is_complete = |next: &usize| self.stages[*next].is_complete();
            let is_unneeded = !successors.is_empty() && successors.iter().all(is_complete);
            if is_unneeded && !self.stages[idx].is_freed {
                self.stages[idx].is_freed = true;
                unneeded.extend(self.stages[idx].handles().map(|handle| (idx, handle.clone())));
            }
        }
        unneeded
    }

    /// Returns all results, with their stages, that were not returned by
    /// [`StageGraph::take_unneeded`].
    pub fn take_unfreed(&mut self) -> Vec<(usize, Handle)> {
        let kept = self.stages.iter_mut().enumerate().filter(|(_, stage)| !stage.is_freed);
        let mut all = Vec::new();
        for (idx, stage) in kept {
            stage.is_freed = true;
            all.extend(stage.handles().map(|handle| (idx, handle.clone())));
        }
        all
    }

    /// Results of at least this size that have not been freed, with their stages.
    pub fn unfreed(&self, route: &Route, bytes: u64) -> Vec<(usize, Handle)> {
        let stages = self.stages.iter().enumerate();
        let unfreed =
            stages.filter(|(idx, stage)| !stage.is_freed && route.stages[*idx].bytes >= bytes);
        unfreed.flat_map(|(idx, stage)| stage.handles().map(move |it| (idx, it.clone()))).collect()
    }

    fn final_stages<'a>(&'a self, route: &'a Route) -> impl Iterator<Item = usize> + 'a {
        (0..self.stages.len()).filter(|idx| self.successors(route, *idx).next().is_none())
    }

    /// The stages that depend on this one and are not skipped.
    fn successors<'a>(&'a self, route: &'a Route, idx: usize) -> impl Iterator<Item = usize> + 'a {
        let follows = move |next: &usize| {
            route.stages[*next].after.contains(&idx) && !self.stages[*next].results.is_empty()
        };
        (0..self.stages.len()).filter(follows)
    }
}
