// Places one task and prints its result and its end. `npm install`, start `bin/thornferry demo`, then
//   npm run submit -- [class] [port]
import { Client } from '@stomp/stompjs';
import { TCPWrapper } from '@stomp/tcp-wrapper';
import { randomUUID } from 'node:crypto';

const [taskClass = 'gauge-relay', port = '61613'] = process.argv.slice(2);
const id = randomUUID();

const client = new Client({
  webSocketFactory: () => new TCPWrapper('127.0.0.1', Number(port)),
  connectHeaders: { login: 'demo', passcode: 'demo', host: 'thornferry' },
  heartbeatIncoming: 2000,
  heartbeatOutgoing: 2000,
  reconnectDelay: 500,
  onConnect: () => {
    client.subscribe('/tasks/results', (message) => {
      const { task, result, event, node, reason } = message.headers;
      if (task !== id) return;
      console.log([task, result ?? event, node, reason].filter(Boolean).join(' '));
      if (result !== 'placed') client.deactivate(); // rejected (`refused`), failed, or the end of a placed task
    });
    client.watchForReceipt(`taken-${id}`, () => console.log(`${id} taken`));
    // requested again under the same id after a reconnect, it is still the same task
    client.publish({
      destination: '/tasks',
      headers: { 'content-type': 'application/json', receipt: `taken-${id}` },
      body: JSON.stringify({ id, taskClass, service: 'example', key: id, cores: 1, memory: 1, runsForMs: 1000 }),
    });
  },
  onStompError: (frame) => {
    console.error(`refused by the placer: ${frame.headers.message} ${frame.body}`);
    process.exitCode = 1;
    client.deactivate();
  },
});
client.activate();
