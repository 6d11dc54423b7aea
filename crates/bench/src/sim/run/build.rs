//! Daemons and replicas of a run.

use super::{
    Bounds, Budget, Daemon, Distance, Duration, Engine, Instance, Ipv4Addr, Kind, Limiter, Model,
    Name, Replica, Reporter, Routing, SocketAddr, State, World, document, hash, id, routing,
};

impl World<'_> {
    pub(super) fn build(&mut self, engine_model: Model) {
        let instances = self.instances();
        let data_centres: Vec<Name> = self.experiment.document.data_centres().cloned().collect();
        for data_centre in &data_centres {
            for number in 0..self.experiment.daemons {
                let daemon = self.daemon(data_centre, number, &instances);
                self.daemons.push(daemon);
            }
        }
        let bounds = self.bounds();
        for instance in &instances {
            let owner = self.owner(&instance.name, &instance.data_centre);
            self.replicas.push(Replica {
                engine: Engine::new(engine_model),
                dead: false,
                owner,
                sharing: Limiter::new(Duration::ZERO, bounds),
                batch: Vec::new(),
                aside: Vec::new(),
                in_reserve: None,
            });
        }
    }

    pub(super) fn instances(&self) -> Vec<Instance> {
        let mut instances = Vec::new();
        for row in &self.model.replicas {
            for number in 0..row.count {
                instances.push(Instance {
                    name: Name::from(format!("{}-{number}", row.data_centre)),
                    kind: Kind::Engine,
                    serves: self.model.name.clone(),
                    data_centre: row.data_centre.clone(),
                    address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
                    state: State::Live,
                });
            }
        }
        instances
    }

    pub(super) fn daemon(&self, home: &Name, number: usize, instances: &[Instance]) -> Daemon {
        let mut routing = Routing::new(home.clone());
        let document = &self.experiment.document;
        let distances = document.regions.iter().flat_map(|region| {
            region.data_centres.iter().map(|data_centre| Distance {
                data_centre: data_centre.clone(),
                one_way: if data_centre == home {
                    Duration::ZERO
                } else {
                    Duration::from_secs_f64(region.one_way_ms / 1e3)
                },
            })
        });
        let gathers = self.policy.is_ours();
        let fill = Bounds::online_fill_share(document.sharing.batch_weight);
        let capacity = routing::Capacity {
            sequences: self.model.max_sequences,
            online_fill_share: if gathers { fill } else { 0.0 },
        };
        routing.configure(distances, [(self.model.name.clone(), capacity)]);
        routing.update_instances(Duration::ZERO, instances);
        let key = |instance: &Instance| routing.by_name(&instance.name).map(|(key, _)| key);
        let keys = instances.iter().filter_map(key).collect();
        Daemon {
            id: id::Daemon::from(format!("{home}-{number}").as_str()),
            routing,
            interest: Reporter::default(),
            budget: Budget::default(),
            keys,
        }
    }

    pub(super) fn owner(&self, name: &Name, data_centre: &Name) -> usize {
        let local = |d: &&(usize, &Daemon)| d.1.id.0.starts_with(data_centre.as_str());
        let daemons: Vec<(usize, &Daemon)> = self.daemons.iter().enumerate().collect();
        let score =
            |d: &&(usize, &Daemon)| hash::score(name.as_str().as_bytes(), d.1.id.as_bytes());
        daemons
            .iter()
            .filter(local)
            .max_by_key(score)
            .map_or(0, |(at, _)| *at)
    }

    pub(super) fn bounds(&self) -> Bounds {
        let online = self.model.online.as_ref();
        let ms =
            |read: fn(&document::Online) -> u64| Duration::from_millis(online.map_or(10_000, read));
        Bounds {
            max_sequences: self.model.max_sequences,
            reserve: self.experiment.document.sharing.reserve,
            ttft: ms(|online| online.ttft_ms),
            itl: ms(|online| online.itl_ms),
            batch_weight: self.experiment.document.sharing.batch_weight,
        }
    }
}
