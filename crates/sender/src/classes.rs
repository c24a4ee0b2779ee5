//! The table of classes: those in force, and those that only messages taken on before still have.
use policy::api::{Class, DedupScope, Effect, Ns, Settings};
use policy::settings::HostSettings;

/// A class's rules as the journal keeps them.
pub use journal::Rules as Stored;

const EFFECTS: [Effect; 3] = [Effect::Safe, Effect::Keyed, Effect::Unsafe];
const SCOPES: [DedupScope; 3] = [DedupScope::All, DedupScope::Zone, DedupScope::Endpoint];

fn store(c: &Class) -> Stored {
    let effect = EFFECTS.iter().position(|e| *e == c.effect).unwrap_or_default() as u8;
    let scope = SCOPES.iter().position(|s| *s == c.scope).unwrap_or_default() as u8;
    let (worth, late) = (c.worth, c.late_worth);
    (effect, scope, c.target, c.target_stretch, c.deadline, c.window, worth, late, c.in_order, c.max_attempts)
}

/// None where the journal holds what is no class.
fn restore(stored: &Stored) -> Option<Class> {
    let (effect, scope, target, target_stretch, deadline, window, worth, late_worth, in_order, max_attempts) =
        *stored;
    let effect = *EFFECTS.get(usize::from(effect))?;
    let scope = *SCOPES.get(usize::from(scope))?;
    Some(Class {
        target,
        target_stretch,
        deadline,
        effect,
        scope,
        window,
        worth,
        late_worth,
        in_order,
        max_attempts,
    })
}

struct Row {
    name: String,
    class: Class,
    /// New messages come with it.
    in_force: bool,
    open: usize,
}

impl Row {
    fn is(&self, name: &str, class: &Class) -> bool {
        self.name == name && self.class == *class
    }
}

/// A class's number stays its own while it is in force or a message has it; then another may get it.
pub struct Classes(Vec<Row>);

impl Classes {
    pub fn new(settings: &Settings, host_settings: &HostSettings) -> Classes {
        let mut classes = Classes(Vec::new());
        classes.replace(settings, host_settings);
        classes
    }

    /// The classes of these settings are in force from now on, and no others.
    pub fn replace(&mut self, settings: &Settings, host_settings: &HostSettings) {
        let new = || host_settings.classes.iter().zip(&settings.classes);
        // Those that stay first, so that none of them loses its number to a new one.
        for row in &mut self.0 {
            row.in_force = new().any(|(name, class)| row.is(name, class));
        }
        for (name, class) in new() {
            if !self.0.iter().any(|row| row.is(name, class)) {
                let free = self.0.iter().position(|row| !row.in_force && row.open == 0);
                self.enter(free, Row { name: name.clone(), class: class.clone(), in_force: true, open: 0 });
            }
        }
    }

    pub fn current(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|row| row.in_force && row.name == name)
    }

    /// The number of a class that a message of an earlier process has; without its rules the one in force.
    pub fn of(&mut self, name: &str, rules: Option<&Stored>) -> Option<usize> {
        match rules.and_then(restore) {
            Some(class) => Some(match self.0.iter().position(|row| row.is(name, &class)) {
                Some(same) => same,
                None => self.enter(None, Row { name: name.to_string(), class, in_force: false, open: 0 }),
            }),
            None => self.current(name),
        }
    }

    fn enter(&mut self, free: Option<usize>, row: Row) -> usize {
        match free {
            Some(free) => {
                self.0[free] = row;
                free
            }
            None => {
                self.0.push(row);
                self.0.len() - 1
            }
        }
    }

    pub fn opened(&mut self, class: usize) {
        self.0[class].open += 1;
    }

    pub fn ended(&mut self, class: usize) {
        self.0[class].open -= 1;
    }

    pub fn deadline(&self, class: usize) -> Ns {
        self.0[class].class.deadline
    }

    pub fn stored(&self, class: usize) -> Stored {
        store(&self.0[class].class)
    }

    /// By number, for the module.
    pub fn table(&self) -> Vec<Class> {
        self.0.iter().map(|row| row.class.clone()).collect()
    }
}
