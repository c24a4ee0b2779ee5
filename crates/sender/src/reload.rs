//! SIGHUP: the file of the configuration was replaced. All of it takes effect, or none.
use crate::config;
use crate::connections::Pool;
use crate::figures::{bump, Figures};
use crate::inbox::Input;
use crate::server::{Server, Terms};
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_blocking;

pub struct Reload {
    pub environment: config::Environment,
    /// The file that was taken last, without the entries of `known`.
    pub in_force: Value,
    pub discovery: watch::Sender<SocketAddr>,
    pub core: mpsc::Sender<Input>,
    pub pool: Rc<Pool>,
    pub server: Rc<Server>,
    pub figures: Rc<Figures>,
}

impl Reload {
    /// A bad file is no reason to end, or to lose what works.
    pub async fn run(mut self, mut told: mpsc::Receiver<()>) {
        while told.recv().await.is_some() {
            // By a thread of its own: a file with a long list takes a second, and all else goes on meanwhile.
            let (environment, in_force) = (self.environment.clone(), self.in_force.clone());
            let read = move || config::reread(&environment, &in_force);
            match spawn_blocking(read).await.unwrap_or_else(|failed| Err(failed.to_string())) {
                Ok(config) => self.swap(config).await,
                Err(reason) => {
                    bump(&self.figures.reload_errors);
                    tracing::error!(%reason, "the new file is turned down whole, the old configuration is kept")
                }
            }
        }
    }

    async fn swap(&mut self, config: config::Config) {
        let (address, classes) = (config.discovery, config.host_settings.classes.join(" "));
        let (settings, host_settings) = (config.settings, config.host_settings);
        self.pool.set_times(settings.dial_timeout, settings.idle_close);
        let terms = Terms::new(&settings, host_settings.clone());
        // The core first: no message may reach it with a class that it has not heard of.
        if self.core.send(Input::Settings(Box::new((settings, host_settings)))).await.is_err() {
            return;
        }
        self.server.terms.replace(terms);
        bump(&self.figures.reloads);
        self.discovery.send_if_modified(|old| std::mem::replace(old, address) != address);
        self.in_force = config.file;
        tracing::info!(%address, classes, "the configuration was read again");
    }
}
