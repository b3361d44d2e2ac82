//! Routing as one would write it first: scan the rules, then scan all servers for the least loaded that holds the
//! adapter.

use std::collections::HashSet;

use dahliastile_core::config::rules::{Rules, Subject};

use crate::deployment::Deployment;

pub struct Router {
    rules: Rules,
    servers: Vec<(HashSet<String>, u32)>,
}

impl Router {
    pub fn new(deployment: &Deployment) -> Self {
        let mut servers = vec![(HashSet::new(), 0); deployment.size.replicas];
        for (server, adapter) in deployment.granted() {
            servers[server].0.insert(deployment.name(adapter));
        }
        Self {
            rules: Rules::new(deployment.document.rules.clone()),
            servers,
        }
    }

    pub fn choose(&self, subject: &Subject<'_>, adapter: &str) -> Option<usize> {
        std::hint::black_box(self.rules.naive(subject));
        let servers = self.servers.iter().enumerate();
        let holds = servers.filter(|(_, (held, _))| held.contains(adapter));
        holds.min_by_key(|(_, (_, load))| *load).map(|(i, _)| i)
    }
}
