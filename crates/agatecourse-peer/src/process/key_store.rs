use crate::process::key_error::{
    DeploymentKeyExistsSnafu, FileSnafu, InvalidNameSnafu, NoDeploymentKeySnafu,
};
use crate::process::node_keys::read_file;
use crate::{CertificateSummary, DeploymentKey, KeyError};
use snafu::{OptionExt, ResultExt, ensure};
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

const CERTIFICATE_EXTENSION: &str = "pem";
const DEPLOYMENT_FILE_PREFIX: &str = "deployment-";
const PRIVATE_KEY_EXTENSION: &str = "key";

/// Directory of PEM files with the deployment keys and the node certificates of one deployment.
///
/// Deployment key `n` is in `deployment-<n>.pem` and `deployment-<n>.key`; the key with the highest number is the
/// current one. The certificate of a node is in `<node>.pem` and its private key in `<node>.key`. Existing
/// deployment keys are never overwritten. All files are readable by their owner only.
///
/// A rotation takes three steps: add a key with [`KeyStore::rotate_deployment_key`], configure both deployment
/// certificates on all nodes, then reissue each node's certificate with [`KeyStore::issue_node_certificate`] and
/// remove the old deployment certificate.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KeyStore {
    directory: PathBuf,
}

impl KeyStore {
    /// Creates a store for a directory; the directory itself is created with the first key.
    pub fn new(directory: impl Into<PathBuf>) -> Self {
        Self { directory: directory.into() }
    }

    /// Creates the first deployment key and returns the path of its certificate.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::DeploymentKeyExists`] when there is a deployment key, or another [`KeyError`] when the key
    /// can't be generated or written.
    pub fn create_deployment_key(
        &self,
        deployment: &str,
        valid_days: u32,
    ) -> Result<PathBuf, KeyError> {
        if let Some(number) = self.deployment_key_numbers()?.last() {
            return DeploymentKeyExistsSnafu {
                path: self.deployment_file_path(*number, CERTIFICATE_EXTENSION),
            }
            .fail();
        }
        self.write_deployment_key(deployment, 1, valid_days)
    }

    /// Adds a deployment key, which becomes the current one, and returns the path of its certificate.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::NoDeploymentKey`] when there is no deployment key, or another [`KeyError`] when the key
    /// can't be generated or written.
    pub fn rotate_deployment_key(
        &self,
        deployment: &str,
        valid_days: u32,
    ) -> Result<PathBuf, KeyError> {
        self.write_deployment_key(deployment, self.current_key_number()? + 1, valid_days)
    }

    /// Issues a certificate for a node, signed by deployment key `number` or, without it, by the current one.
    ///
    /// Returns the paths of the certificate and of the private key; earlier files are replaced.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] when the node name or the validity is invalid, the deployment key is missing or
    /// invalid, or a file can't be read or written.
    pub fn issue_node_certificate(
        &self,
        node: &str,
        number: Option<u32>,
        valid_days: u32,
    ) -> Result<(PathBuf, PathBuf), KeyError> {
        // A node name with this prefix would replace the files of a deployment key.
        ensure!(!node.starts_with(DEPLOYMENT_FILE_PREFIX), InvalidNameSnafu { name: node });
        let number = number.map_or_else(|| self.current_key_number(), Ok)?;
        let certificate = self.deployment_file_path(number, CERTIFICATE_EXTENSION);
        ensure!(certificate.exists(), NoDeploymentKeySnafu { path: &self.directory, number });
        let key = self.deployment_file_path(number, PRIVATE_KEY_EXTENSION);
        let origin = certificate.display().to_string();
        let key = DeploymentKey::from_pem(&read_file(&certificate)?, &read_file(&key)?, &origin)?;
        let issued = key.issue_certificate(node, valid_days)?;
        let files = (
            self.file_path(node, CERTIFICATE_EXTENSION),
            self.file_path(node, PRIVATE_KEY_EXTENSION),
        );
        replace_file(&files.1, &issued.key_pem)?;
        replace_file(&files.0, &issued.certificate_pem)?;
        Ok(files)
    }

    /// Returns the path and the summary of each certificate in the directory, ordered by path.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] when the directory or a certificate can't be read or parsed.
    pub fn list_certificates(&self) -> Result<Vec<(PathBuf, CertificateSummary)>, KeyError> {
        let read = |path: PathBuf| {
            let summary =
                CertificateSummary::from_pem(&read_file(&path)?, &path.to_string_lossy())?;
            Ok((path, summary))
        };
        self.certificate_files()?.into_iter().map(read).collect()
    }

    fn current_key_number(&self) -> Result<u32, KeyError> {
        let path = &self.directory;
        self.deployment_key_numbers()?
            .last()
            .copied()
            .context(NoDeploymentKeySnafu { path, number: 1_u32 })
    }

    fn deployment_key_numbers(&self) -> Result<Vec<u32>, KeyError> {
        if !self.directory.exists() {
            return Ok(Vec::new());
        }
        let number = |path: PathBuf| {
            path.file_stem()?.to_str()?.strip_prefix(DEPLOYMENT_FILE_PREFIX)?.parse::<u32>().ok()
        };
        let mut numbers: Vec<u32> =
            self.certificate_files()?.into_iter().filter_map(number).collect();
        numbers.sort_unstable();
        Ok(numbers)
    }

    fn certificate_files(&self) -> Result<Vec<PathBuf>, KeyError> {
        let path = &self.directory;
        let entries = fs::read_dir(path).context(FileSnafu { action: "list", path })?;
        let mut paths: Vec<PathBuf> = entries
            .filter_map(|entry| entry.ok().map(|entry| entry.path()))
            .filter(|path| {
                path.extension().is_some_and(|extension| extension == CERTIFICATE_EXTENSION)
            })
            .collect();
        paths.sort();
        Ok(paths)
    }

    fn write_deployment_key(
        &self,
        deployment: &str,
        number: u32,
        valid_days: u32,
    ) -> Result<PathBuf, KeyError> {
        let key = DeploymentKey::generate(deployment, number, valid_days)?;
        let path = &self.directory;
        fs::create_dir_all(path).context(FileSnafu { action: "create", path })?;
        let certificate = self.deployment_file_path(number, CERTIFICATE_EXTENSION);
        create_file(&self.deployment_file_path(number, PRIVATE_KEY_EXTENSION), key.key_pem())?;
        create_file(&certificate, key.certificate_pem())?;
        Ok(certificate)
    }

    fn deployment_file_path(&self, number: u32, extension: &str) -> PathBuf {
        self.file_path(&format!("{DEPLOYMENT_FILE_PREFIX}{number}"), extension)
    }

    fn file_path(&self, stem: &str, extension: &str) -> PathBuf {
        self.directory.join(format!("{stem}.{extension}"))
    }
}

/// Writes to a temporary file and renames it, so that a node that starts meanwhile never reads a partial key.
fn replace_file(path: &Path, text: &str) -> Result<(), KeyError> {
    let mut staged = path.as_os_str().to_owned();
    staged.push(".new");
    let staged = PathBuf::from(staged);
    if staged.exists() {
        fs::remove_file(&staged).context(FileSnafu { action: "replace", path: &staged })?;
    }
    create_file(&staged, text)?;
    fs::rename(&staged, path).context(FileSnafu { action: "replace", path })
}

fn create_file(path: &Path, text: &str) -> Result<(), KeyError> {
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(0o600);
    let mut file = options.open(path).context(FileSnafu { action: "create", path })?;
    file.write_all(text.as_bytes()).context(FileSnafu { action: "write", path })
}
