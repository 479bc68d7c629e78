//! Several instances whose messages to each other are delivered at once, with an oracle of what
//! they may send.

mod steps;

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use peatdeck_core::relay::{
    Settings,
    config::{Config, Route},
    directory::{Change, Entry},
    model::{
        Action, Call, CallKey, ExchangeKey, HandoverKey, Peer, Piece, PlacementRequest, Refusal,
    },
    operator::OperatorCommand,
    region::RegionName,
};

use crate::relay::{
    fixture::{World, settings},
    region_fuzz::{List, NAMES, REGIONS, ROUTES, SERVICES, Shape, TEAMS},
    regions::{self, config, entry_in, map},
};

struct Instance {
    world: World,
    name: Arc<str>,
    data_centre: String,
    is_cut_off: bool,
}

enum Running {
    Call,
    Pieces(Arc<str>, Vec<Piece>),
}

/// The request that an instance got: its route and its team, as indices of the lists.
#[derive(Debug, Clone, Copy)]
struct Request {
    route: usize,
    team: usize,
}

pub struct Network {
    instances: Vec<Instance>,
    entries: Vec<(Entry, bool)>,
    evacuated: BTreeSet<String>,
    lists: Vec<List>,
    version: u64,
    requests: HashMap<String, Request>,
    exchanges: HashMap<(usize, ExchangeKey), String>,
    running: Vec<(usize, CallKey, Running)>,
    /// The instance that handed pieces over and the one that got them, by ticket.
    tickets: HashMap<u64, (usize, HandoverKey, usize)>,
    next: u64,
}

/// The region of a data centre: the first letter of its name, unless it is `x1`.
fn region_of(data_centre: &str) -> &str {
    if data_centre == "x1" { data_centre } else { &data_centre[..1] }
}

fn data_centre(index: u8, regions: usize) -> String {
    let index = usize::from(index);
    match REGIONS[..regions].get(index / 2) {
        Some(region) => format!("{region}{}", index % 2 + 1),
        None => "x1".into(),
    }
}

fn build_config(version: u64, lists: &[List]) -> Arc<Config> {
    let names = |list: &List| -> Option<Arc<[RegionName]>> {
        list.as_ref().map(|list| list.iter().map(|idx| NAMES[usize::from(*idx)].into()).collect())
    };
    let mut builder = config();
    for team in TEAMS {
        builder = builder.key(team, team);
    }
    let built = Arc::unwrap_or_clone(builder.build());
    let routes = built.routes.iter().enumerate().map(|(idx, route)| {
        let allowed_regions = names(&lists[idx]);
        Arc::new(Route { allowed_regions, max_attempts: 4, ..Route::clone(route) })
    });
    let routes = routes.collect();
    let mut keys = built.keys.clone().unwrap();
    for (idx, team) in TEAMS.iter().enumerate() {
        keys.get_mut(*team).unwrap().allowed_regions = names(&lists[ROUTES.len() + idx]);
    }
    Arc::new(Config { version, routes, keys: Some(keys), ..built })
}

impl Network {
    /// Instances without requests, and their endpoints.
    pub fn new(shape: Shape) -> Network {
        let centres = (0..2 * shape.regions as u8).map(|idx| data_centre(idx, shape.regions));
        let centres: Vec<_> = centres.collect();
        let pairs: Vec<_> = centres.iter().map(|name| (&**name, region_of(name))).collect();
        let regions = map(&pairs);
        let config = build_config(1, &shape.lists);
        let mut homes = Vec::new();
        for (idx, count) in shape.instances.iter().enumerate() {
            homes.extend((0..*count).map(|nth| centres[idx * 2 + usize::from(nth)].clone()));
        }
        if homes.is_empty() {
            homes.push(centres[0].clone());
        }
        let instances = homes.into_iter().enumerate().map(|(idx, data_centre)| {
            let name: Arc<str> = format!("i{idx}").into();
            let home = data_centre.as_str().into();
            let settings =
                Settings { data_centre: home, regions: regions.clone(), ..settings(&name) };
            let world = World::with_settings(config.clone(), settings);
            Instance { world, name, data_centre, is_cut_off: false }
        });
        let entries = shape.endpoints.iter().enumerate().map(|(idx, centre)| {
            let centre = data_centre(*centre, shape.regions);
            (entry_in(&centre, &format!("n{idx}"), SERVICES[idx % 3]), true)
        });
        let mut network = Network {
            instances: instances.collect(),
            entries: entries.collect(),
            evacuated: BTreeSet::new(),
            lists: shape.lists,
            version: 1,
            requests: HashMap::new(),
            exchanges: HashMap::new(),
            running: Vec::new(),
            tickets: HashMap::new(),
            next: 0,
        };
        network.update_peers();
        for (entry, _) in network.entries.clone() {
            network.change(&Change::Put(entry));
        }
        network
    }

    fn now(&self) -> Duration {
        self.instances[0].world.now
    }

    fn update_peers(&mut self) {
        let peers = self.instances.iter().map(|it| {
            let peer = regions::peer(&it.name, &it.data_centre);
            (peer, it.is_cut_off)
        });
        let peers: Vec<(Peer, bool)> = peers.collect();
        for instance in &mut self.instances {
            let others = peers.iter().filter(|(peer, is_cut_off)| {
                peer.name != instance.name && !is_cut_off && !instance.is_cut_off
            });
            let others = others.map(|(peer, _)| peer.clone()).collect();
            instance.world.relay.set_peers(instance.world.now, others, peers.len());
        }
    }

    fn change(&mut self, change: &Change) {
        for instance in &mut self.instances {
            instance.world.relay.apply_change(instance.world.now, change.clone());
        }
        self.deliver();
    }

    fn command(&mut self, command: impl Fn() -> OperatorCommand) {
        for instance in &mut self.instances {
            instance.world.apply_command(command());
        }
        self.deliver();
    }

    fn is_allowed(&self, request: Request, region: &str) -> bool {
        let lists = [&self.lists[request.route], &self.lists[ROUTES.len() + request.team]];
        lists.into_iter().all(|list| {
            let names = list.as_ref();
            names.is_none_or(|list| list.iter().any(|idx| NAMES[usize::from(*idx)] == region))
        })
    }

    /// Whether endpoints of all services of a request are usable in an allowed region.
    fn is_servable(&self, request: Request) -> bool {
        let services: &[&str] = [&["ledger", "desk"][..], &["desk"], &["engine"]][request.route];
        let is_usable = |service: &str, region: &str| {
            self.entries.iter().any(|(entry, is_ready)| {
                let is_open = *is_ready && !self.evacuated.contains(&*entry.data_centre);
                is_open && *entry.service == *service && region_of(&entry.data_centre) == region
            })
        };
        NAMES.iter().any(|region| {
            self.is_allowed(request, region) && services.iter().all(|it| is_usable(it, region))
        })
    }

    fn region_at(&self, addr: &str) -> &str {
        let at_addr = |(entry, _): &&(Entry, bool)| *entry.addr == *addr;
        region_of(&self.entries.iter().find(at_addr).unwrap().0.data_centre)
    }

    fn assert_allowed(&self, id: &str, addr: &str) {
        let (request, region) = (self.requests[id], self.region_at(addr));
        assert!(self.is_allowed(request, region), "{id} went to {addr} in {region}");
    }

    /// The instance of a name, if a message from another one with a request's content may go there.
    fn recipient(&self, from: usize, name: &str, id: &str) -> Option<usize> {
        let to = self.instances.iter().position(|it| *it.name == *name).unwrap();
        let region = region_of(&self.instances[to].data_centre);
        let is_own = region == region_of(&self.instances[from].data_centre);
        assert!(is_own || self.is_allowed(self.requests[id], region), "{id} passed to {region}");
        let is_cut_off = self.instances[to].is_cut_off || self.instances[from].is_cut_off;
        (!is_cut_off).then_some(to)
    }

    /// Carries out actions and delivers messages until there are none.
    fn deliver(&mut self) {
        loop {
            let mut all = Vec::new();
            for (idx, instance) in self.instances.iter_mut().enumerate() {
                instance.world.collect();
                all.extend(instance.world.actions.drain(..).map(|action| (idx, action)));
            }
            if all.is_empty() {
                return;
            }
            for (idx, action) in all {
                self.carry_out(idx, action);
            }
        }
    }

    fn carry_out(&mut self, from: usize, action: Action) {
        match action {
            Action::Send(call) => self.send(from, &call),
            Action::MakePieces { call, addr, pieces, .. } => {
                pieces.iter().for_each(|piece| self.assert_allowed(&piece.request, &addr));
                self.running.push((from, call, Running::Pieces(addr, pieces)));
            }
            Action::Cancel(call) => {
                self.running.retain(|(idx, key, _)| (*idx, *key) != (from, call));
            }
            Action::HandOverPieces { key, peer, pieces } => {
                self.hand_over(from, key, &peer, pieces)
            }
            Action::RecallPieces(key) => {
                let ticket = self.tickets.iter().find(|(_, it)| (it.0, it.1) == (from, key));
                if let Some((&ticket, &(_, _, to))) = ticket {
                    self.tickets.remove(&ticket);
                    self.instances[to].world.relay.on_handover_recall(ticket);
                }
            }
            Action::ReturnResults { ticket, results } => {
                if let Some((to, key, _)) = self.tickets.remove(&ticket) {
                    let world = &mut self.instances[to].world;
                    world.relay.on_handover_return(world.now, key, Some(results));
                }
            }
            Action::RequestPlacement { exchange, peer, request } => {
                self.place(from, exchange, &peer, &request);
            }
            Action::Refuse { exchange, refusal: Refusal::NoAllowedRegion, .. } => {
                let request = self.requests[&self.exchanges[&(from, exchange)]];
                assert!(!self.is_servable(request), "{request:?} was refused");
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, call: &Call) {
        let id = self.exchanges[&(from, call.exchange)].clone();
        self.assert_allowed(&id, &call.addr);
        let inputs = call.inputs.iter().filter_map(|handle| handle.split_once('/'));
        let sources = call.source.as_deref().into_iter().chain(inputs.map(|(addr, _)| addr));
        sources.for_each(|addr| self.assert_allowed(&id, addr));
        self.running.push((from, call.key, Running::Call));
    }

    fn hand_over(&mut self, from: usize, key: HandoverKey, peer: &str, pieces: Vec<Piece>) {
        let to = self.recipient(from, peer, &pieces[0].request);
        let Some(to) = to else {
            let world = &mut self.instances[from].world;
            world.relay.on_handover_return(world.now, key, None);
            return;
        };
        self.next += 1;
        self.tickets.insert(self.next, (from, key, to));
        let world = &mut self.instances[to].world;
        world.relay.on_handover(world.now, self.next, pieces);
    }

    fn place(
        &mut self,
        from: usize,
        key: ExchangeKey,
        peer: &Arc<str>,
        request: &PlacementRequest,
    ) {
        let id = self.exchanges[&(from, key)].clone();
        let now = self.now();
        let to = self.recipient(from, peer, &id);
        let placement = to.and_then(|to| self.instances[to].world.relay.place_prompt(now, request));
        let relay = &mut self.instances[from].world.relay;
        if to.is_none() {
            relay.on_placer_failure(now, peer);
        }
        relay.on_placement(now, key, peer, placement);
    }
}
