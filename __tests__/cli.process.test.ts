import assert from 'node:assert/strict';
import { randomBytes } from 'node:crypto';
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { startDeployment, type CommandResult, type Deployment } from './support/deployment.js';
import { createControlClient, findLeader } from './support/controlClient.js';
import { waitFor } from './support/waitFor.js';

const targetsWith = (answerWithin: string, more = ''): string => `
[class.lookup]
service = "lookups"
match = [{ method = "GET", path = "/poles" }]
answer_within = "${answerWithin}"
idempotent = true
${more}
`;

const last = <Item>(items: readonly Item[]): Item => items[items.length - 1]!;

describe('the command line', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await startDeployment({
      dataCentres: [{ name: 'a', upstreams: [{ service: 'lookups', count: 2 }] }],
    });
    // The service is not marked as expected, so the leader has to know its endpoints.
    await waitFor(
      async () => {
        const { stdout } = await deployment.cli(['status', '--json']);
        const { services } = JSON.parse(stdout);
        return services.some((service: { endpoints: number }) => service.endpoints === 2);
      },
      { what: 'both endpoints at the leader' },
    );
  });

  after(() => deployment.stop());

  const write = (name: string, text: string): string => {
    const file = join(deployment.folder, name);
    writeFileSync(file, text);
    return file;
  };

  const expectCode = (result: CommandResult, code: number) =>
    assert.equal(result.exitCode, code, `${result.stdout}\n${result.stderr}`);

  const run = async (code: number, ...args: string[]): Promise<CommandResult> => {
    const result = await deployment.cli(args);
    expectCode(result, code);
    return result;
  };

  const runJson = async (code: number, ...args: string[]) => {
    const { stdout } = await run(code, ...args, '--json');
    return JSON.parse(stdout);
  };

  it('shows the effect of a change without making it', async () => {
    const file = write('a.toml', targetsWith('250ms'));
    const { stdout } = await run(0, 'apply', file, '--dry-run');
    assert.match(stdout, /^\+ class\.lookup\.answerWithinMs = 250$/m);
    assert.match(stdout, /^would be accepted$/m);
    assert.equal((await runJson(0, 'history')).items.length, 0);
  });

  it('applies a change, waits until it is in force and shows it', async () => {
    const file = write('a.toml', targetsWith('250ms'));
    const applied = await runJson(0, 'apply', file, '--wait', '--note', 'first');
    assert.equal(applied.outcome, 'accepted');
    assert.ok(applied.converged_ms > 0);
    assert.deepEqual(applied.not_in_force, []);
    const status = await runJson(0, 'status');
    assert.equal(status.version, applied.version);
    assert.deepEqual(
      status.data_centres.map(({ name, nodes, nodes_in_force: inForce }: never) => [
        name,
        nodes,
        inForce,
      ]),
      [['a', 2, 2]],
    );
    assert.equal((await run(0, 'get')).stdout.trim(), targetsWith('250ms').trim());
    const { items } = await runJson(0, 'history');
    assert.deepEqual(
      items.map(({ note, operator, outcome }: never) => [note, operator, outcome]),
      [['first', 'test', 'accepted']],
    );
  });

  it('explains a class, and refuses one that does not exist', async () => {
    const { stdout } = await run(0, 'explain', 'lookup');
    assert.match(stdout, /deadline/i);
    const { stderr } = await run(4, 'explain', 'nothing');
    assert.match(stderr, /class nothing: not_found/);
  });

  it('reports that nothing changed if the targets are the same', async () => {
    const { version } = await runJson(0, 'status');
    const file = write('a.toml', targetsWith('250ms'));
    const again = await runJson(0, 'apply', file);
    assert.equal(again.outcome, 'unchanged');
    assert.equal(again.version, version);
  });

  // Guards against a race in which two operators are both told that they succeeded.
  it('refuses a change whose base is no longer the current version', async () => {
    const { version } = await runJson(0, 'status');
    const first = await runJson(
      0,
      'apply',
      write('b.toml', targetsWith('300ms')),
      '--base',
      version,
    );
    assert.equal(first.outcome, 'accepted');
    const { stderr } = await run(
      4,
      'apply',
      write('c.toml', targetsWith('400ms')),
      '--base',
      version,
    );
    assert.match(stderr, /version_conflict: .*current version is/);
    assert.match(stderr, /refused, nothing was changed/);
  });

  // Guards against a retry that makes the change twice.
  it('repeats the first outcome for a change id, and refuses the id for other targets', async () => {
    const file = write('d.toml', targetsWith('350ms'));
    const id = `change-${randomBytes(4).toString('hex')}`;
    const first = await runJson(0, 'apply', file, '--change-id', id);
    const second = await runJson(0, 'apply', file, '--change-id', id);
    assert.deepEqual([second.outcome, second.replayed], ['accepted', true]);
    assert.equal(second.version, first.version);
    const other = write('e.toml', targetsWith('360ms'));
    const { stderr } = await run(4, 'apply', other, '--change-id', id);
    assert.match(stderr, /change_id_reused/);
    const { items } = await runJson(0, 'history', '--change-id', id);
    assert.equal(items.length, 1);
    assert.match((await run(4, 'history', '--change-id', 'none')).stderr, /not in the history/);
  });

  it('reports every finding in targets with its location', async () => {
    const file = write(
      'bad.toml',
      targetsWith('soon', 'share = 2\nurgency = 1').replace('service = "lookups"', ''),
    );
    const { stderr } = await run(3, 'apply', file);
    ['answer_within', 'share', 'urgency', 'service'].forEach((key) =>
      assert.match(stderr, new RegExp(`bad\\.toml: class\\.lookup\\.${key}: `)),
    );
    const checked = await runJson(3, 'check', file);
    assert.equal(checked.findings.length, 4);
  });

  // Guards against targets in which invalid bytes are replaced before they are sent.
  it('refuses targets that are not UTF-8', async () => {
    const file = write('latin1.toml', '');
    writeFileSync(file, Buffer.from(targetsWith('250ms', 'note = "caf\u00e9"'), 'latin1'));
    assert.match((await run(3, 'apply', file)).stderr, /latin1\.toml: not valid UTF-8/);
    assert.match((await run(3, 'check', file)).stderr, /latin1\.toml: not valid UTF-8/);
  });

  it('states the calculation for a target that the fleet cannot meet', async () => {
    const file = write('full.toml', targetsWith('250ms', 'rate = 5000\nwork = "10ms"'));
    const { stderr } = await run(3, 'apply', file, '--dry-run');
    assert.match(stderr, /5000\/s \* 0\.01 s = 50.*found 50 slots; allowed: 20 slots at most/);
  });

  // Guards against a change that one process accepts and another cannot handle.
  it('refuses a change over the size limit, and so does the leader', async () => {
    const tooLarge = targetsWith('250ms', `# ${'x'.repeat(256 * 1024)}`);
    const { stderr } = await run(3, 'apply', write('large.toml', tooLarge));
    assert.match(stderr, /too large: \d+ bytes; allowed: 262144 bytes at most/);
    const clients = deployment.controls.map((control) => createControlClient(deployment, control));
    const leader = await findLeader(clients);
    const { version } = await leader.queries.get({});
    const answer = await leader.commands.apply({
      changeId: 'large',
      baseVersion: version,
      targets: tooLarge,
    });
    assert.deepEqual([answer.outcome, answer.run], ['refused', 'not_run']);
    assert.match(answer.findings[0]!.message, /too large/);
    clients.forEach(({ close }) => close());
  });

  it('exits with 7 for a wrong token, and does not print the token', async () => {
    const token = 'another-operator-token';
    const file = write('wrong.token', token);
    const { stderr, stdout } = await run(7, 'status', '--token-file', file);
    assert.match(stderr, /unauthorized: .*missing or wrong token/);
    assert.ok(!`${stderr}${stdout}`.includes(token));
    const binary = write('binary.token', 'first line\nsecond line');
    const broken = await run(2, 'status', '--token-file', binary);
    assert.ok(!broken.stderr.includes('second line'));
  });

  it('exits with 6 if no control instance answers', async () => {
    const { ok, reason } = await runJson(6, 'status', '--control', '127.0.0.1:1');
    assert.deepEqual([ok, reason], [false, 'unreachable']);
  });

  it('exits with 2 for wrong arguments and settings', async () => {
    await run(2, 'aply', 'a.toml');
    await run(2, 'apply');
    assert.match((await run(2, 'status', '--control', 'localhost')).stderr, /ip:port/);
    assert.match((await run(2, 'apply', 'none.toml')).stderr, /none\.toml/);
    assert.match((await run(2, 'get', '--version', 'x')).stderr, /TERM\.INDEX/);
    const config = write('cli.toml', 'control = ["127.0.0.1:7001"]\ncontrols = 1\n');
    assert.match((await run(2, 'status', '--config', config)).stderr, /controls: unknown key/);
  });

  it('reads addresses and token from a settings file, with options taking precedence', async () => {
    const config = write(
      'auburnsill.toml',
      `control = ["${deployment.controls[0]!.peer}"]\ntoken_file = "operator.token"\n`,
    );
    await run(0, 'check', config);
    await run(0, 'status', '--config', config);
    await run(6, 'status', '--config', config, '--control', '127.0.0.1:1');
  });

  it('checks settings of nodes and control instances, and detects the kind of file', async () => {
    const { settingsFile } = deployment.controls[0]!;
    assert.match((await run(0, 'check', settingsFile)).stdout, /control settings, correct/);
    assert.match(
      (await run(0, 'check', deployment.nodes[0]!.settingsFile)).stdout,
      /node settings, correct/,
    );
    const wrong = write(
      'wrong.toml',
      readFileSync(settingsFile, 'utf8').replace('[storage]', '[storage]\nfsync = false'),
    );
    assert.match((await run(3, 'check', wrong)).stderr, /storage\.fsync: unknown key/);
  });

  it('checks the targets of both examples', async () => {
    for (const name of ['wegendienst', 'adire-loom']) {
      const file = join(import.meta.dirname, '..', 'examples', name, 'targets.toml');
      assert.match((await run(0, 'check', file)).stdout, /targets, correct/);
    }
  });

  it('orders a rollout, shows its state and refuses another one', async () => {
    await run(9, 'rollout', 'lookups');
    await run(2, 'rollout', 'lookups', 'v2', '--period', 'soon');
    await run(2, 'rollout', 'lookups', 'v2');
    await run(4, 'rollout', 'other', 'v2', '--period', '12s');
    await run(0, 'rollout', 'lookups', 'v2', '--period', '12s');
    await run(0, 'rollout', 'lookups', 'v2', '--period', '12s');
    const refused = await runJson(4, 'rollout', 'lookups', 'v3', '--period', '12s');
    assert.match(refused.message, /another rollout/);
    const { state, stage, target_version: version } = await runJson(0, 'rollout', 'lookups');
    assert.deepEqual([state, stage, version], ['running', 'canary', 'v2']);
    assert.match((await run(0, 'rollout', 'lookups')).stdout, /^running {2}v2/m);
  });

  it('shows the members, and help with examples for every command', async () => {
    const { members } = await runJson(0, 'members');
    assert.equal(last<{ role: string }>(members).role, 'leader');
    const { stdout } = await run(0, '--help');
    const commands = ['apply', 'drain', 'rollout', 'check', 'explain', 'get', 'history', 'members'];
    for (const command of [...commands, 'report', 'status', 'members add', 'members remove']) {
      assert.ok(stdout.includes(`auburnsill ${command}`), command);
      const help = (await run(0, ...command.split(' '), '--help')).stdout;
      assert.match(help, /Examples/, command);
    }
  });

  it('reports the burn rate of each class, and names a node that does not answer', async () => {
    const { calls } = deployment.nodes[0]!;
    for (let sent = 0; sent < 5; sent += 1) {
      assert.equal((await fetch(`http://${calls}/poles`)).status, 200);
    }
    const nodes = deployment.nodes.map(({ admin }) => admin).join(',');
    const html = join(deployment.folder, 'burn.html');
    const report = await runJson(0, 'report', '--nodes', nodes, '--html', html);
    const [line] = report.lines;
    assert.deepEqual([line.class, line.data_centre, line.long.good], ['lookup', 'a', 5]);
    assert.match(readFileSync(html, 'utf8'), /<svg .*lookup · a/s);
    const partial = await run(8, 'report', '--nodes', `${nodes},127.0.0.1:1`);
    assert.match(partial.stdout, /no report from 127\.0\.0\.1:1: .*ECONNREFUSED/);
    await run(6, 'report', '--nodes', '127.0.0.1:1');
  });
});
