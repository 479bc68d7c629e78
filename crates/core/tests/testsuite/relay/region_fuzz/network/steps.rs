//! What happens to the instances and endpoints from outside.

use std::time::Duration;

use peatdeck_core::{
    model::Incarnation,
    relay::{
        config::Config,
        directory::{Change, Entry},
        model::{Arrival, Failure, Handle, Piece, PieceFailure},
        operator::OperatorCommand,
    },
};

use crate::relay::{
    fixture::{World, arrival, head, ms, not_run},
    region_fuzz::{
        List, ROUTES, Step, TEAMS,
        network::{Instance, Network, Request, Running, build_config},
    },
    regions::{staged, with_prompt},
};

impl Network {
    fn arrive(&mut self, at: u8, route: u8, team: u8) {
        let from = usize::from(at) % self.instances.len();
        let request = Request {
            route: usize::from(route) % ROUTES.len(),
            team: usize::from(team) % TEAMS.len(),
        };
        let id = format!("q{}", self.requests.len());
        let arrival = match request.route {
            0 => staged(&id),
            1 => arrival(&id, "plain"),
            _ => with_prompt(&id),
        };
        let arrival = Arrival { key: Some(TEAMS[request.team].into()), ..arrival };
        self.requests.insert(id.clone(), request);
        let world = &mut self.instances[from].world;
        if let Ok(key) = world.relay.on_request(world.now, arrival) {
            self.exchanges.insert((from, key), id);
        }
        self.deliver();
    }

    fn finish(&mut self, pick: u8, outcome: u8) {
        if self.running.is_empty() {
            return;
        }
        let (idx, call, work) = self.running.remove(usize::from(pick) % self.running.len());
        let World { relay, now, .. } = &mut self.instances[idx].world;
        match (work, outcome % 5) {
            (Running::Call, 0) => relay.on_call_failure(*now, call, Failure::Cut),
            (Running::Call, 1) => relay.on_call_failure(*now, call, Failure::Unsent),
            (Running::Call, 2) => relay.on_reply(*now, call, &not_run(503)),
            (Running::Call, _) => relay.on_reply(*now, call, &head(200)),
            (Running::Pieces(..), 0) => relay.on_pieces_failure(*now, call, Failure::Cut, false),
            (Running::Pieces(..), 1) => relay.on_pieces_failure(*now, call, Failure::Unsent, true),
            (Running::Pieces(addr, pieces), outcome) => {
                let result = |piece: &Piece| match outcome {
                    2 => Err(PieceFailure::Failed),
                    _ => Ok(Handle::from(format!("{addr}/{}-{}", piece.request, piece.number))),
                };
                let results = pieces.iter().map(result).collect();
                relay.on_pieces_made(*now, call, results, None);
            }
        }
        self.deliver();
    }

    fn change_endpoint(&mut self, pick: u8, kind: u8) {
        let idx = usize::from(pick) % self.entries.len();
        let (entry, is_ready) = &mut self.entries[idx];
        let change = match kind % 4 {
            0 => {
                *is_ready = false;
                Change::Put(Entry { is_leaving: true, ..entry.clone() })
            }
            1 => {
                *is_ready = false;
                Change::Removed(entry.name.clone())
            }
            _ => {
                *is_ready = true;
                entry.incarnation = Incarnation(entry.incarnation.0 + 1);
                Change::Put(entry.clone())
            }
        };
        self.change(&change);
    }

    fn allow(&mut self, pick: u8, list: List) {
        let idx = usize::from(pick) % self.lists.len();
        self.lists[idx] = list;
        self.version += 1;
        let config = build_config(self.version, &self.lists);
        self.command(|| OperatorCommand::Configure(Config::clone(&config)));
    }

    fn evacuate(&mut self, pick: u8, is_evacuated: bool) {
        let (entry, _) = &self.entries[usize::from(pick) % self.entries.len()];
        let data_centre = entry.data_centre.clone();
        match is_evacuated {
            true => self.evacuated.insert(data_centre.to_string()),
            false => self.evacuated.remove(&*data_centre),
        };
        self.command(|| match is_evacuated {
            true => OperatorCommand::Evacuate(data_centre.clone()),
            false => OperatorCommand::Restore(data_centre.clone()),
        });
    }

    /// Cuts an instance off: what was handed to it or by it is lost.
    fn cut_off(&mut self, pick: u8, is_cut_off: bool) {
        let idx = usize::from(pick) % self.instances.len();
        self.instances[idx].is_cut_off = is_cut_off;
        self.update_peers();
        let lost: Vec<_> = self.tickets.iter().map(|(ticket, it)| (*ticket, *it)).collect();
        for (ticket, (from, key, to)) in
            lost.into_iter().filter(|(_, it)| it.0 == idx || it.2 == idx)
        {
            self.tickets.remove(&ticket);
            self.instances[to].world.relay.on_handover_recall(ticket);
            let world = &mut self.instances[from].world;
            world.relay.on_handover_return(world.now, key, None);
        }
        self.deliver();
    }

    fn wait(&mut self, time: Duration) {
        for instance in &mut self.instances {
            instance.world.advance(time);
        }
        self.deliver();
    }

    /// Carries out a step and everything that follows from it.
    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Arrive(at, route, team) => self.arrive(at, route, team),
            Step::Finish(pick, outcome) => self.finish(pick, outcome),
            Step::Endpoint(pick, kind) => self.change_endpoint(pick, kind),
            Step::Instance(pick, is_cut_off) => self.cut_off(pick, is_cut_off),
            Step::Allow(pick, list) => self.allow(pick, list),
            Step::Evacuate(pick, is_evacuated) => self.evacuate(pick, is_evacuated),
            Step::Wait(millis) => self.wait(ms(millis.into())),
        }
    }

    /// Lets all requests end and checks that nothing remains.
    pub fn end(&mut self) {
        for _ in 0..60 {
            while !self.running.is_empty() {
                self.finish(0, 4);
            }
            self.wait(ms(200));
        }
        for Instance { world, name, .. } in &self.instances {
            let open = (world.relay.open_exchanges(), world.relay.open_tickets());
            assert_eq!(open, (0, 0), "{name} has open exchanges or tickets");
        }
    }
}
