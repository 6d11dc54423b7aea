//! Initial daemons and replicas of a run.
//!
//! Creates the replicas that the document lists for the simulated model and the
//! daemons of each data centre. Every daemon has the full instance list in its
//! routing table. As in the product, rendezvous hashing selects the daemon of
//! the data centre that owns a replica.

use super::{
    Bounds, Budget, Daemon, Distance, Duration, Engine, Instance, Ipv4Addr, Kind, Limiter, Model,
    Name, Replica, Reporter, Routing, Simulation, SocketAddr, State, document, hash, id, routing,
};

impl Simulation<'_> {
    pub(super) fn set_up(&mut self, engine_model: Model) {
        let instances = self.instances();
        let data_centres: Vec<Name> = self.experiment.document.data_centres().cloned().collect();
        for data_centre in &data_centres {
            for number in 0..self.experiment.daemons_per_data_centre {
                let daemon = self.new_daemon(data_centre, number, &instances);
                self.daemons.push(daemon);
            }
        }
        let bounds = self.bounds();
        for instance in &instances {
            let owner = self.owner_of(&instance.name, &instance.data_centre);
            self.replicas.push(Replica {
                engine: Engine::new(engine_model),
                dead: false,
                owner,
                sharing: Limiter::new(Duration::ZERO, bounds),
                batch: Vec::new(),
                preempted: Vec::new(),
                reserve_used_since: None,
            });
        }
    }

    pub(super) fn instances(&self) -> Vec<Instance> {
        let mut instances = Vec::new();
        for group in &self.model.replicas {
            for number in 0..group.count {
                instances.push(Instance {
                    name: Name::from(format!("{}-{number}", group.data_centre)),
                    kind: Kind::Engine,
                    serves: self.model.name.clone(),
                    data_centre: group.data_centre.clone(),
                    address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
                    state: State::Live,
                });
            }
        }
        instances
    }

    pub(super) fn new_daemon(
        &self,
        data_centre: &Name,
        number: usize,
        instances: &[Instance],
    ) -> Daemon {
        let mut routing = Routing::new(data_centre.clone());
        let document = &self.experiment.document;
        let distances = document.regions.iter().flat_map(|region| {
            region.data_centres.iter().map(|other| Distance {
                data_centre: other.clone(),
                one_way: if other == data_centre {
                    Duration::ZERO
                } else {
                    Duration::from_secs_f64(region.one_way_ms / 1e3)
                },
            })
        });
        // A fill share of zero spreads online work over all replicas.
        let concentrate = self.policy.uses_sharing();
        let fill_share = Bounds::online_fill_share(document.sharing.batch_weight);
        let capacity = routing::Capacity {
            sequences: self.model.max_sequences,
            online_fill_share: if concentrate { fill_share } else { 0.0 },
        };
        routing.configure(distances, [(self.model.name.clone(), capacity)]);
        routing.update_instances(Duration::ZERO, instances);
        let key = |instance: &Instance| routing.by_name(&instance.name).map(|(key, _)| key);
        let keys = instances.iter().filter_map(key).collect();
        Daemon {
            id: id::Daemon::from(format!("{data_centre}-{number}").as_str()),
            routing,
            use_reports: Reporter::default(),
            budget: Budget::default(),
            keys,
        }
    }

    pub(super) fn owner_of(&self, name: &Name, data_centre: &Name) -> usize {
        let local =
            |candidate: &&(usize, &Daemon)| candidate.1.id.0.starts_with(data_centre.as_str());
        let daemons: Vec<(usize, &Daemon)> = self.daemons.iter().enumerate().collect();
        let score = |candidate: &&(usize, &Daemon)| {
            hash::rendezvous_score(name.as_str().as_bytes(), candidate.1.id.as_bytes())
        };
        daemons
            .iter()
            .filter(local)
            .max_by_key(score)
            .map_or(0, |(index, _)| *index)
    }

    pub(super) fn bounds(&self) -> Bounds {
        let online = self.model.online.as_ref();
        let bound =
            |read: fn(&document::Online) -> u64| Duration::from_millis(online.map_or(10_000, read));
        Bounds {
            max_sequences: self.model.max_sequences,
            reserve: self.experiment.document.sharing.reserve,
            ttft: bound(|online| online.ttft_ms),
            itl: bound(|online| online.itl_ms),
            batch_weight: self.experiment.document.sharing.batch_weight,
        }
    }
}
