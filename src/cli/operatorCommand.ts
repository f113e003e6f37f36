/**
 * Base class of the commands that connect to the control instances.
 */
import { Option } from 'clipanion';
import { BaseCommand } from './baseCommand.js';
import { controlAddresses, operatorToken, type ConnectionOptions } from './connectionSettings.js';
import { createOperatorClient, type OperatorClient } from './operatorClient.js';

/** Command that connects to the control instances. */
export abstract class OperatorCommand extends BaseCommand {
  control = Option.String('--control', {
    description: 'Peer addresses of control instances, separated by commas',
  });

  tokenFile = Option.String('--token-file', { description: "File with the operator's token" });

  config = Option.String('--config', { description: 'Settings file of the command line' });

  protected connectionOptions(): ConnectionOptions {
    return { control: this.control, tokenFile: this.tokenFile, config: this.config };
  }

  protected async withClient<Result>(
    callback: (client: OperatorClient) => Promise<Result>,
  ): Promise<Result> {
    const { env } = this.context;
    const options = this.connectionOptions();
    const client = createOperatorClient(
      controlAddresses(options, env),
      operatorToken(options, env),
    );
    try {
      return await callback(client);
    } finally {
      client.close();
    }
  }
}
