/**
 * A stand-in for a model worker, as a process of its own that can be killed. A part of
 * its streams has no length and ends with the connection; the others have chunks.
 *
 * Arguments: port, id, number of events, milliseconds between two events, and the share
 * of streams without a length.
 */
import { createServer } from "node:http";

const [port, id, events, gapMs, unframedShare] = process.argv.slice(2);

const server = createServer((request, response) => {
  request.resume();
  request.on("end", () => {
    if (request.headers["x-target-instance"] !== id) {
      response.writeHead(421, { "x-instance-id": id }).end();
      return;
    }
    stream(response, request.headers["x-attempt-id"]);
  });
});

function stream(response, attemptId) {
  const isUnframed = Math.random() < Number(unframedShare);
  response.useChunkedEncodingByDefault = !isUnframed;
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "x-attempt-id": attemptId,
    "x-response-signature": `s.${id}.${attemptId}`,
  });
  process.stdout.write(`ran ${attemptId} ${isUnframed}\n`);
  let sent = 0;
  const timer = setInterval(() => {
    sent += 1;
    response.write(`id: ${sent}\ndata: ${attemptId}.${sent}\n\n`);
    if (sent < Number(events)) return;
    clearInterval(timer);
    response.end();
  }, Number(gapMs));
  response.on("close", () => {
    clearInterval(timer);
    process.stdout.write(`closed ${attemptId} ${sent}\n`);
  });
}

server.listen(Number(port), "127.0.0.1", () => {
  process.stdout.write(`listening ${server.address().port}\n`);
});
