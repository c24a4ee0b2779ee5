//! The settings file of a process, as the platform writes it.
use crate::declare::{above_zero, any, not_empty, not_negative, Faults, Readable};
use crate::location::{Location, Topology};
use crate::tolerance::Tolerance;
use serde_json::Value;
use std::net::{IpAddr, SocketAddr};

/// The variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "MALLOWSTEP_CONFIG";

crate::declare! {
    /// The addresses that a role serves on.
    #[derive(Clone, Debug, Default)]
    pub struct ListenAddresses {
        /// Where clients are served.
        "Http" http: Option<String> = [None], any;
        /// Where the platform asks whether the process is ready.
        "Readiness" readiness: Option<String> = [None], any;
        /// Where the operator is served.
        "Control" control: Option<String> = [None], any;
    }
}

crate::declare! {
    /// What the machine grants the process.
    #[derive(Clone, Debug, Default)]
    pub struct MachineLimits {
        "MemoryMb" memory_mb: u64 = [256], above_zero;
        "MaxFds" max_fds: u64 = [1024], above_zero;
        "DiskMb" disk_mb: f64 = [0.0], not_negative;
    }
}

crate::declare! {
    /// The platform's list of endpoints.
    #[derive(Clone, Debug, Default)]
    pub struct CloudApi {
        "Address" address: String = [], not_empty;
        /// Calls a second that it accepts from all senders together.
        "RatePerS" rate_per_s: f64 = [10.0], not_negative;
    }
}

crate::declare! {
    /// What may be lost at once.
    #[derive(Clone, Debug, Default)]
    pub struct FaultTolerance {
        "Machines" machines: u64 = [1], any;
        "Zones" zones: u64 = [0], any;
        "Regions" regions: u64 = [0], any;
    }
}

crate::declare! {
    /// Figures of the rules in force.
    #[derive(Clone, Debug)]
    pub struct Bounds {
        /// Seconds from SIGTERM to SIGKILL.
        "GraceS" grace_s: f64 = [6.0], not_negative;
        /// Seconds for which an ended message can be asked for.
        "StatusTtlS" status_ttl_s: f64 = [120.0], not_negative;
        /// Seconds of the sliding window of a service's rate.
        "CeilingWindowS" ceiling_window_s: f64 = [5.0], not_negative;
        /// How far the wall clocks of two machines may be apart.
        "MaxSkewMs" max_skew_ms: u64 = [12_000], any;
        /// Seconds for which repeats of an operation key are one message.
        "KeyWindowS" key_window_s: f64 = [60.0], not_negative;
        /// A machine that hears of no configuration for longer than `RevokeMs` refuses requests that need a key.
        "Closed" closed: bool = [false], any;
        /// Milliseconds for which a machine may go by the keys that it heard of last, where `Closed` is true.
        "RevokeMs" revoke_ms: u64 = [5_000], any;
    }
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            grace_s: 6.0,
            status_ttl_s: 120.0,
            ceiling_window_s: 5.0,
            max_skew_ms: 12_000,
            key_window_s: 60.0,
            closed: false,
            revoke_ms: 5_000,
        }
    }
}

crate::declare! {
    /// All settings of a process.
    #[derive(Clone, Debug, Default)]
    pub struct ProcessSettings {
        "NodeName" node_name: String = [], not_empty;
        "Ip" ip: String = [], not_empty;
        "Zone" zone: String = [String::new()], any;
        /// The region that the zone lies in.
        "Region" region: String = [String::new()], any;
        /// All zones of the system with their regions.
        "Zones" topology: Topology = [Topology::default()], any;
        "ListenAddresses" listen: ListenAddresses = [], any;
        /// First and last of the ports for what members say to each other.
        "PortRange" port_range: Vec<u64> = [], two_ports;
        /// Addresses of machines that serve the operator.
        "Seeds" seeds: Vec<String> = [Vec::new()], any;
        /// The whole system starts for the first time.
        "Bootstrap" bootstrap: bool = [false], any;
        "Limits" limits: MachineLimits = [], any;
        "DataDir" data_dir: Option<String> = [None], any;
        "FaultTolerance" tolerance: FaultTolerance = [FaultTolerance { machines: 1, zones: 0, regions: 0 }], any;
        "Bounds" bounds: Bounds = [Bounds::default()], any;
        "CloudApi" cloud: Option<CloudApi> = [None], any;
    }
}

fn two_ports(ports: &[u64]) -> Result<(), &'static str> {
    match *ports {
        [first, last] if first >= 1 && first < last && last <= 65_535 => Ok(()),
        _ => Err("is not a first and a last port; give two different ones from 1 to 65535, the lower first"),
    }
}

impl ProcessSettings {
    /// Reads the text of a settings file.
    pub fn parse(text: &str) -> Result<ProcessSettings, Faults> {
        let mut faults = Faults::default();
        let value: Value = match serde_yaml_ng::from_str(text) {
            Ok(value) => value,
            Err(error) => {
                faults.add("settings", format!("cannot be read as YAML ({error}); mend the text there"));
                return Err(faults);
            }
        };
        let settings = ProcessSettings::read(&value, "", &mut faults);
        if let Some(settings) = &settings {
            settings.check_addresses(&mut faults);
        }
        match settings {
            Some(settings) if faults.0.is_empty() => Ok(settings),
            _ => Err(faults),
        }
    }

    /// Reads the file that [`PATH_VARIABLE`] names.
    pub fn from_environment() -> anyhow::Result<ProcessSettings> {
        let path = std::env::var(PATH_VARIABLE).map_err(|_| {
            anyhow::anyhow!("{PATH_VARIABLE} is not set; give it the path of a settings file")
        })?;
        let text = std::fs::read_to_string(&path)
            .map_err(|error| anyhow::anyhow!("{path} cannot be read ({error}); check path and rights"))?;
        Ok(ProcessSettings::parse(&text)?)
    }

    fn check_addresses(&self, faults: &mut Faults) {
        if self.ip.parse::<IpAddr>().is_err() {
            faults.add("Ip", "is not an IP number; write one");
        }
        let listen = [&self.listen.http, &self.listen.readiness, &self.listen.control];
        for address in listen.into_iter().flatten().chain(&self.seeds) {
            if address.parse::<SocketAddr>().is_err() {
                faults.add(address, "is not an IP number with a port; write it as 10.1.0.4:8064");
            }
        }
    }

    /// The machine's own address.
    pub fn own_ip(&self) -> IpAddr {
        self.ip.parse().expect("checked when read")
    }

    /// Where the machine stands: its region by its own word, else by that of the table of zones.
    pub fn location(&self) -> Location {
        match self.region.is_empty() {
            true => self.topology.locate(&self.zone),
            false => Location { zone: self.zone.clone(), region: self.region.clone() },
        }
    }

    /// What may be lost at once.
    pub fn tolerance(&self) -> Tolerance {
        let FaultTolerance { machines, zones, regions } = self.tolerance;
        Tolerance { machines: machines as usize, zones: zones as usize, regions: regions as usize }
    }

    /// The port on which control machines answer members, the same everywhere.
    pub fn control_port(&self) -> u16 {
        self.port_range[0] as u16
    }

    /// The port on which stores answer members: another one, since a store may share a machine with control.
    pub fn store_port(&self) -> u16 {
        self.port_range[0] as u16 + 1
    }

    /// The seeds' machines.
    pub fn seed_ips(&self) -> Vec<IpAddr> {
        self.seeds.iter().filter_map(|seed| seed.parse::<SocketAddr>().ok()).map(|seed| seed.ip()).collect()
    }
}
