use std::{net::SocketAddr, path::PathBuf, time::Duration};

use {
    mangostep_platform::{
        HostRow, PlatformClient, PlatformSettings, TableStore, Transaction, keys,
    },
    mangostep_policy::MemberSet,
    pico_args::Arguments,
    serde::Deserialize,
};

use crate::command::{CommandError, read_text};

/// Settings of the commands that access a fleet, from the settings file and
/// the command line.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct OperatorSettings {
    /// Name of the fleet, which prefixes its keys in the platform's table;
    /// required.
    pub(crate) fleet: String,
    /// Addresses of the platform services and timeouts of their calls.
    pub(crate) platform: PlatformSettings,
    /// Operator addresses of hosts, used when the platform is unreachable.
    pub(crate) hosts: Vec<SocketAddr>,
}

/// Clients for the platform and for the operator listeners of a fleet.
#[derive(Debug)]
pub(crate) struct FleetAccess {
    pub(crate) settings: OperatorSettings,
    pub(crate) client: PlatformClient,
    pub(crate) http: reqwest::Client,
}

/// Timeout of one request to the operator listener of a host.
const HOST_REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

impl FleetAccess {
    /// Takes the fleet options from the command line and creates the clients.
    pub(crate) fn open(arguments: &mut Arguments) -> Result<Self, CommandError> {
        let file: Option<PathBuf> = arguments.opt_value_from_str("--settings")?;
        let mut settings = match file {
            Some(file) => {
                let text = read_text(&file)?;
                mangostep_objects::read_settings(&file.to_string_lossy(), &text)
                    .map_err(|err| CommandError::Failed(err.to_string()))?
            }
            None => OperatorSettings::default(),
        };
        if let Some(fleet) = arguments.opt_value_from_str("--fleet")? {
            settings.fleet = fleet;
        }
        if let Some(base) = arguments.opt_value_from_str::<_, String>("--platform")? {
            settings.platform.table.clone_from(&base);
            settings.platform.objects.clone_from(&base);
            settings.platform.directory = base;
        }
        while let Some(host) = arguments.opt_value_from_str("--host")? {
            settings.hosts.push(host);
        }
        if settings.fleet.is_empty() {
            return Err(CommandError::Usage(
                "no fleet given (use --fleet or --settings)".to_owned(),
            ));
        }
        settings.platform.client = "operator".to_owned();
        let client = PlatformClient::open(settings.platform.clone())
            .map_err(|err| CommandError::failed("create platform client", err))?;
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(HOST_REQUEST_TIMEOUT)
            .build()
            .map_err(|err| CommandError::failed("create HTTP client", err))?;
        Ok(FleetAccess {
            settings,
            client,
            http,
        })
    }

    /// Reads the host rows from the platform.
    pub(crate) async fn host_rows(&self) -> Result<Vec<HostRow>, CommandError> {
        let read = Transaction {
            prefixes: vec![keys::host_prefix(&self.settings.fleet)],
            ..Default::default()
        };
        let answer = self
            .client
            .transact(&read)
            .await
            .map_err(|err| CommandError::failed("read host rows", err))?;
        let texts = answer.rows.iter().filter_map(|row| row.value.as_deref());
        texts
            .map(|text| {
                HostRow::parse(text).map_err(|err| CommandError::failed("read host rows", err))
            })
            .collect()
    }

    /// Reads the member set and all host rows in one transaction.
    pub(crate) async fn member_rows(&self) -> Result<MemberRows, CommandError> {
        let fleet = &self.settings.fleet;
        let key = keys::members(fleet);
        let read = Transaction {
            reads: vec![key.clone()],
            prefixes: vec![keys::host_prefix(fleet)],
            ..Default::default()
        };
        let failed = |err: &dyn std::fmt::Display| CommandError::failed("read member rows", err);
        let answer = self
            .client
            .transact(&read)
            .await
            .map_err(|err| failed(&err))?;
        let mut set = MemberSet::default();
        let mut hosts = Vec::new();
        for row in &answer.rows {
            let Some(text) = row.value.as_deref() else {
                continue;
            };
            if row.key == key {
                set = serde_json::from_str(text).map_err(|err| failed(&err))?;
            } else {
                hosts.push(HostRow::parse(text).map_err(|err| failed(&err))?);
            }
        }
        Ok(MemberRows { set, hosts })
    }

    /// Returns the operator addresses of all hosts, from their rows.
    ///
    /// If the rows cannot be read, the addresses from the settings and the
    /// command line are returned.
    pub(crate) async fn operator_addresses(&self) -> Result<Vec<HostAddress>, CommandError> {
        match self.host_rows().await {
            Ok(rows) => Ok(rows
                .into_iter()
                .map(|row| HostAddress {
                    name: row.host,
                    address: row.operator,
                })
                .collect()),
            Err(err) if self.settings.hosts.is_empty() => Err(err),
            Err(
                CommandError::Usage(message)
                | CommandError::Failed(message)
                | CommandError::Malformed(message),
            ) => {
                eprintln!("{message}; querying the hosts that --host and the settings name");
                let addresses = self.settings.hosts.iter();
                Ok(addresses
                    .map(|address| HostAddress {
                        name: address.to_string(),
                        address: *address,
                    })
                    .collect())
            }
        }
    }

    /// Fetches a JSON document from the operator listener of one host.
    pub(crate) async fn fetch_json<T: serde::de::DeserializeOwned>(
        &self,
        host: &HostAddress,
        path: &str,
    ) -> Result<T, String> {
        let answer = self
            .http
            .get(format!("http://{}{path}", host.address))
            .send()
            .await
            .and_then(reqwest::Response::error_for_status);
        let document = match answer {
            Ok(answer) => answer.json().await,
            Err(err) => Err(err),
        };
        document.map_err(|err| format!("{path} at {}: {}", host.address, err.without_url()))
    }
}

/// The member set and all host rows, read in one transaction.
#[derive(Clone, Debug)]
pub(crate) struct MemberRows {
    /// Version 0 if the fleet has no member set yet.
    pub(crate) set: MemberSet,
    pub(crate) hosts: Vec<HostRow>,
}

impl MemberRows {
    /// Whether the host is a member; before the initial member set every host
    /// counts as one.
    pub(crate) fn is_counted(&self, host: &str) -> bool {
        self.set.version() == 0 || self.set.contains(host)
    }
}

/// Operator listener of a host.
#[derive(Clone, Debug)]
pub(crate) struct HostAddress {
    /// Name of the host; the address as text if no row names the host.
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
}
